/** The site's configuration: client accounts, presets, topology and its revisions. */
export { type ConfigurationReader, type ConfigurationSource, createConfigurationReader } from "./configurationReader";
export {
    type ChangeRequest,
    type ChangeResult,
    type ConfigurationStore,
    createConfigurationStore,
} from "./configurationStore";
export { createKeyring, hashKey, type Keyring } from "./keys";
export { type Configuration, type ConfigurationHead, headSchema } from "./revision";
export { checkSite, getPreset, getPresetInForce, getWorkers, type SiteProblem, type TopologyWorker } from "./site";
export * from "./siteSchema";

/** Settings files in TOML: the instance's own, and the site's. */
export { checkFile, type FileKind, readInstanceFile, readSiteFile } from "./files";
export { type InstanceSettings, instanceSettingsSchema } from "./instanceSchema";
export { SettingsError, type SettingsProblem } from "./problems";

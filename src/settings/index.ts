/** Settings files in TOML: those of an instance and those of a site. */
export { checkFile, type FileKind, readInstanceFile, readSiteFile } from "./files";
export { type InstanceSettings, instanceSettingsSchema } from "./instanceSchema";
export { SettingsError, type SettingsProblem } from "./problems";

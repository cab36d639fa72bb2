/** Public interface of the library, for programs that embed an instance. */
export { createInstance, type Instance, type InstanceOptions, type InstanceStatus } from "./instance/index";
export { getResultInfo, RESULT_TABLE, ResultCode, type ResultInfo } from "./result/index";
export { checkFile, type InstanceSettings, readInstanceFile, readSiteFile, SettingsError } from "./settings/index";

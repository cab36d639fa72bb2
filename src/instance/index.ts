/** One instance: all roles in one process. */
export { createInstance, type Instance, type InstanceOptions, type InstanceStatus } from "./instance";

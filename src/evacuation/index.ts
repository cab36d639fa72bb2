/** Which availability zones operators have evacuated, followed from the store. */
export { createEvacuations, type Evacuation, type Evacuations, type EvacuationsOptions } from "./evacuations";

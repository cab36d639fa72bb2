/** Natural speeds of workers, estimated from the progress rates of their tasks; pure, without network or clock. */
export { createRunRate, type RunRate } from "./runRate";
export { createSpeedModel, type RateObservation, type SpeedModel, type WorkerKey } from "./speedModel";

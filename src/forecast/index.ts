/** Forecasts of the demand of urgent and guaranteed work, and what they mean for starts of other work. Pure. */
export { type Arrival, createForecast, type Forecast } from "./arrivals";
export { decideHeadroom, type HeadroomDecision, type HeadroomInput, HeadroomOutcome } from "./headroom";

/** The operators' HTTP API. */
export { createOperatorsHttp } from "./operatorsHttp";

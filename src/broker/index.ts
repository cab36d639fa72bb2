/** The moleculer broker that hosts an instance's services, and HTTP services that run on it. */
export { createBroker } from "./broker";
export {
    createHttpService,
    createRefusalAnswer,
    type HttpAnswer,
    type HttpCall,
    type HttpRoute,
    type HttpServiceOptions,
} from "./httpService";

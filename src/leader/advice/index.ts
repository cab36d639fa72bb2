/** Requests tickets from the adviser for queues whose tasks may start only on workers that the adviser allows. */
export { type AdviceRequester, type AdviceRequesterOptions, createAdviceRequester } from "./adviceRequester";

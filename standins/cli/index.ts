/** Commands that use the stand-ins: `standin` and `demo`. */
export { register } from "./standinCommands";

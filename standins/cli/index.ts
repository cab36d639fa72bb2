/** Commands that need the stand-ins: `standin` and `demo`. */
export { register } from "./standinCommands";

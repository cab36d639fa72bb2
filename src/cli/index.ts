/** The command line, without the commands of the stand-ins. */
export { CommandError, print, type PrintOptions, runProgram } from "./output";
export { createProgram } from "./program";

/** The command line, but for the stand-ins' commands. */
export { CommandError, print, type PrintOptions, runProgram } from "./output";
export { createProgram } from "./program";

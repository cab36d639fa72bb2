/** @type {import("jest").Config} */
module.exports = {
    testEnvironment: "node",
    roots: [
        "<rootDir>/src",
        "<rootDir>/platform",
        "<rootDir>/standins",
        "<rootDir>/bin",
        "<rootDir>/soak",
        "<rootDir>/verdict",
    ],
    testMatch: ["**/__tests__/**/*.test.ts"],
    transform: {
        "^.+\\.ts$": ["@swc/jest", {
            jsc: { target: "es2022", parser: { syntax: "typescript" } },
            module: { type: "commonjs", noInterop: true },
        }],
    },
    testTimeout: 30000,
};

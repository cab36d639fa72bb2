import tseslint from "typescript-eslint";

const houseRules = {
    "curly": ["error", "all"],
    "eqeqeq": ["error", "always"],
    "no-restricted-syntax": [
        "error",
        { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
        { selector: "ClassDeclaration", message: "Use closures in place of classes." },
        { selector: "ImportDefaultSpecifier", message: "Use a namespace import." },
        { selector: "ImportDeclaration[importKind!='type'] > ImportSpecifier", message: "Use a namespace import." },
        { selector: "TSNullKeyword", message: "Use undefined in place of null." },
        { selector: "Literal[raw='null']", message: "Use undefined in place of null." },
    ],
    "prefer-arrow-callback": "error",
    "prefer-const": "error",
    "no-console": "error",
    "@typescript-eslint/naming-convention": [
        "error",
        { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
        { selector: "variableLike", format: ["camelCase", "PascalCase", "UPPER_CASE"], leadingUnderscore: "forbid" },
        // The compiler's own mark for a parameter that a signature demands and the body does not use.
        { selector: "parameter", modifiers: ["unused"], format: ["camelCase"], leadingUnderscore: "allow" },
    ],
    "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
    "@typescript-eslint/no-floating-promises": "error",
    "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
    "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
    "@typescript-eslint/array-type": ["error", { default: "array-simple" }],
    "@typescript-eslint/no-explicit-any": "error",
    "func-style": ["error", "declaration", { allowArrowFunctions: true }],
};

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "**/*.generated.ts", "eslint.config.mjs", "jest.config.js"] },
    {
        files: ["**/*.ts"],
        extends: [tseslint.configs.base],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: houseRules,
    },
    {
        // The product must not depend on the stand-ins: they are test equipment.
        files: ["src/**/*.ts"],
        ignores: ["src/**/__tests__/**"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{ group: ["**/standins/**"], message: "src/ does not import stand-ins." }],
            }],
        },
    },
);

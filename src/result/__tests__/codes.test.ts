import * as fs from "node:fs";
import * as path from "node:path";
import * as result from "../index";

test("every code has one row in the table, and an unknown code counts as internal", () => {
    expect(result.RESULT_TABLE.map(row => row.code).sort()).toEqual(Object.values(result.ResultCode).sort());
    expect(result.getResultInfo(4242).name).toBe("internal");
});

test("docs/RESULT-CODES.md has the same rows as the table", () => {
    const page = fs.readFileSync(path.resolve(__dirname, "../../../docs/RESULT-CODES.md"), "utf8");
    const rows = page.split("\n").filter(line => /^\| (0|\d{4}) /.test(line)).map(line =>
        line.split("|").map(cell => cell.trim())
    );
    const documented = rows.map(([, code, name, ran, httpStatus, exitCode, meaning]) => ({
        code: Number(code),
        name,
        ran,
        httpStatus: Number(httpStatus),
        exitCode: Number(exitCode),
        meaning,
    }));
    expect(documented).toEqual(result.RESULT_TABLE);
});

/**
 * Parses the lines of an asset register in CSV into cells with their file, line and column.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  type Finding,
  nearestSuggestion,
  Ok,
  type Result,
} from "@quetzalcove/core";
import { CsvError, parse } from "csv-parse/sync";

const REQUIRED_COLUMNS = [
  "vm",
  "rack",
  "zone",
  "region",
  "pool",
  "cores",
  "memory_gb",
] as const;

const OPTIONAL_COLUMNS = ["accelerators", "agent"] as const;

/** The columns of an asset register. */
export const COLUMNS = [...REQUIRED_COLUMNS, ...OPTIONAL_COLUMNS] as const;

export type ColumnName = (typeof COLUMNS)[number];

/** One value and its location; `line` and `position` count from 1. */
export interface Cell {
  text: string;
  file: string;
  line: number;
  column: ColumnName;
  position: number;
}

export type Row = Record<ColumnName, Cell>;

/** A finding whose path is the location of a cell. */
export function findingAt(cell: Cell, message: string): Finding {
  const location = `${cell.file}:${cell.line}, column ${cell.position}`;
  return { path: `${location} (${cell.column})`, message };
}

/** One record as `csv-parse` returns it with `info: true`. */
interface CsvRecord {
  record: string[];
  info: { lines: number };
}

/** Parses every line of a register. */
export function readRows(
  text: string,
  file: string,
): Result<Row[], Fault> {
  return readRecords(text, file).andThen(([header, ...records]) => {
    if (header === undefined) {
      return Err(
        fault("invalid", `${file} is empty`, {
          path: file,
          remedy: `Start with the line ${COLUMNS.join(",")}`,
        }),
      );
    }
    return readHeader(header, file).andThen((indexes) =>
      toRows(records, { file, indexes, columnCount: header.record.length })
    );
  });
}

function readRecords(
  text: string,
  file: string,
): Result<CsvRecord[], Fault> {
  try {
    const records = parse(text, {
      bom: true,
      info: true,
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    });
    return Ok(records as unknown as CsvRecord[]);
  } catch (error) {
    if (!(error instanceof CsvError)) {
      throw error;
    }
    const path = `${file}:${error.lines ?? 1}`;
    return Err(
      fault("invalid", `${path}: broken CSV: ${error.message}`, {
        path,
        remedy: "Close every quote, and write a quote inside a value twice",
      }),
    );
  }
}

/** The index of each column, from 0. */
type ColumnIndexes = Map<ColumnName, number>;

function readHeader(
  header: CsvRecord,
  file: string,
): Result<ColumnIndexes, Fault> {
  const indexes: ColumnIndexes = new Map();
  const location = `${file}:${header.info.lines}`;
  for (const [index, name] of header.record.entries()) {
    const path = `${location}, column ${index + 1}`;
    if (!COLUMNS.includes(name as ColumnName)) {
      const known = COLUMNS.join(", ");
      return Err(
        fault(
          "invalid",
          `${path}: unknown column "${name}"${
            nearestSuggestion(name, COLUMNS)
          }`,
          { path, remedy: `Known columns are ${known}` },
        ),
      );
    }
    if (indexes.has(name as ColumnName)) {
      return Err(
        fault("invalid", `${path}: column "${name}" is listed twice`, {
          path,
          remedy: "Remove one of the two columns",
        }),
      );
    }
    indexes.set(name as ColumnName, index);
  }
  const missing = REQUIRED_COLUMNS.filter((name) => !indexes.has(name));
  if (missing.length > 0) {
    return Err(
      fault(
        "invalid",
        `${location}: column "${missing.join('", "')}" is missing`,
        {
          path: location,
          remedy: "The first line names the columns",
        },
      ),
    );
  }
  return Ok(indexes);
}

/** The columns as the header names them, and their number. */
interface RegisterLayout {
  file: string;
  indexes: ColumnIndexes;
  columnCount: number;
}

function toRows(
  records: readonly CsvRecord[],
  layout: RegisterLayout,
): Result<Row[], Fault> {
  const rows: Row[] = [];
  for (const { record, info } of records) {
    if (record.length !== layout.columnCount) {
      const path = `${layout.file}:${info.lines}`;
      return Err(
        fault(
          "invalid",
          `${path}: ${record.length} values, but the header names ${layout.columnCount} columns`,
          { path, remedy: "Write one value, maybe empty, for each column" },
        ),
      );
    }
    rows.push(toRow(record, info.lines, layout));
  }
  return Ok(rows);
}

function toRow(
  record: readonly string[],
  line: number,
  layout: RegisterLayout,
): Row {
  const cells = COLUMNS.map((column) => {
    const index = layout.indexes.get(column);
    const text = index === undefined ? "" : record[index] ?? "";
    const position = (index ?? record.length) + 1;
    return [column, { text, file: layout.file, line, column, position }];
  });
  return Object.fromEntries(cells) as Row;
}

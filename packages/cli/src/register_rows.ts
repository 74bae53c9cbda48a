/**
 * Reads the lines of an asset register in CSV and remembers where each cell stands.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  type Finding,
  nearest,
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

/** One value and where it stands; line and position count from 1. */
export interface Cell {
  text: string;
  file: string;
  line: number;
  column: ColumnName;
  position: number;
}

export type Row = Record<ColumnName, Cell>;

/** A finding at a cell. */
export function findingAt(cell: Cell, message: string): Finding {
  const place = `${cell.file}:${cell.line}, column ${cell.position}`;
  return { path: `${place} (${cell.column})`, message };
}

/** One record as `csv-parse` returns it with `info: true`. */
interface CsvRecord {
  record: string[];
  info: { lines: number };
}

/** Reads every line of a register. */
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
    return readHeader(header, file).andThen((positions) =>
      toRows(records, { file, positions, width: header.record.length })
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

/** Where each column stands, from 0. */
type ColumnIndexes = Map<ColumnName, number>;

function readHeader(
  header: CsvRecord,
  file: string,
): Result<ColumnIndexes, Fault> {
  const positions: ColumnIndexes = new Map();
  const place = `${file}:${header.info.lines}`;
  for (const [index, name] of header.record.entries()) {
    const path = `${place}, column ${index + 1}`;
    if (!COLUMNS.includes(name as ColumnName)) {
      const known = COLUMNS.join(", ");
      return Err(
        fault(
          "invalid",
          `${path}: unknown column "${name}"${nearest(name, COLUMNS)}`,
          { path, remedy: `Known columns are ${known}` },
        ),
      );
    }
    if (positions.has(name as ColumnName)) {
      return Err(
        fault("invalid", `${path}: column "${name}" is listed twice`, {
          path,
          remedy: "Remove one of the two columns",
        }),
      );
    }
    positions.set(name as ColumnName, index);
  }
  const missing = REQUIRED_COLUMNS.filter((name) => !positions.has(name));
  if (missing.length > 0) {
    return Err(
      fault(
        "invalid",
        `${place}: column "${missing.join('", "')}" is missing`,
        {
          path: place,
          remedy: "The first line names the columns",
        },
      ),
    );
  }
  return Ok(positions);
}

/** What the header says about every line. */
interface RegisterLayout {
  file: string;
  positions: ColumnIndexes;
  width: number;
}

function toRows(
  records: readonly CsvRecord[],
  frame: RegisterLayout,
): Result<Row[], Fault> {
  const rows: Row[] = [];
  for (const { record, info } of records) {
    if (record.length !== frame.width) {
      const path = `${frame.file}:${info.lines}`;
      return Err(
        fault(
          "invalid",
          `${path}: ${record.length} values, but the header names ${frame.width} columns`,
          { path, remedy: "Write one value, maybe empty, for each column" },
        ),
      );
    }
    rows.push(toRow(record, info.lines, frame));
  }
  return Ok(rows);
}

function toRow(
  record: readonly string[],
  line: number,
  frame: RegisterLayout,
): Row {
  const cells = COLUMNS.map((column) => {
    const index = frame.positions.get(column);
    const text = index === undefined ? "" : record[index] ?? "";
    const position = (index ?? record.length) + 1;
    return [column, { text, file: frame.file, line, column, position }];
  });
  return Object.fromEntries(cells) as Row;
}

/**
 * Traces in the W3C trace context format with one span per hop, exported as OTLP JSON lines to a file or by OTLP/HTTP.
 *
 * @module
 */
import { createWriteStream, mkdirSync, type WriteStream } from "node:fs";
import { join } from "node:path";
import {
  type Context,
  context,
  type Span,
  SpanKind,
  SpanStatusCode,
  trace,
} from "@opentelemetry/api";
import {
  type ExportResult,
  ExportResultCode,
  W3CTraceContextPropagator,
} from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { JsonTraceSerializer } from "@opentelemetry/otlp-transformer";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  type ReadableSpan,
  type SpanExporter,
  type SpanProcessor,
  TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";
import type { Component } from "../lifecycle.ts";

/** Resource, destinations and sampling of traces. */
export interface TracingOptions {
  entry: string;
  zone: string;
  folder?: string;
  otlpUrl?: string;
  /** Share of traces that are sampled if the caller made no sampling decision, 0 to 1. */
  sampleShare: number;
}

/** A finished span, as the admin API returns it. */
export interface SpanRecord {
  trace: string;
  span: string;
  parent: string | undefined;
  name: string;
  entry: string;
  startMs: number;
  durationMs: number;
  attributes: Record<string, unknown>;
}

/** Number of finished spans that are kept for the admin API. */
const MAX_RECENT_SPANS = 4_096;

/** Keeps the latest spans in a ring buffer. */
class RecentSpans implements SpanProcessor {
  readonly #entry: string;
  readonly #spans: SpanRecord[] = [];
  #next = 0;

  constructor(entry: string) {
    this.#entry = entry;
  }

  find(traceId: string): SpanRecord[] {
    return this.#spans.filter((span) => span.trace === traceId);
  }

  onStart(): void {}

  onEnd(span: ReadableSpan): void {
    this.#spans[this.#next] = toSpanRecord(span, this.#entry);
    this.#next = (this.#next + 1) % MAX_RECENT_SPANS;
  }

  forceFlush(): Promise<void> {
    return Promise.resolve();
  }

  shutdown(): Promise<void> {
    return Promise.resolve();
  }
}

function toSpanRecord(span: ReadableSpan, entry: string): SpanRecord {
  const [seconds, nanos] = span.startTime;
  const [durationS, durationNs] = span.duration;
  return {
    trace: span.spanContext().traceId,
    span: span.spanContext().spanId,
    parent: span.parentSpanContext?.spanId,
    name: span.name,
    entry,
    startMs: seconds * 1e3 + nanos / 1e6,
    durationMs: durationS * 1e3 + durationNs / 1e6,
    attributes: { ...span.attributes },
  };
}

/** Appends batches of spans to a file as OTLP JSON, one batch per line. */
class FileExporter implements SpanExporter {
  readonly #stream: WriteStream;

  constructor(file: string) {
    this.#stream = createWriteStream(file, { flags: "a" });
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    const body = JsonTraceSerializer.serializeRequest(spans);
    if (body === undefined) {
      done({ code: ExportResultCode.FAILED });
      return;
    }
    this.#stream.write(body);
    this.#stream.write("\n", (error) => {
      done({
        code: error ? ExportResultCode.FAILED : ExportResultCode.SUCCESS,
      });
    });
  }

  shutdown(): Promise<void> {
    return new Promise((resolve) => this.#stream.end(resolve));
  }
}

const propagator = new W3CTraceContextPropagator();

/** Extracts the trace context from headers such as `traceparent`. */
export function extractContext(
  carrier: Record<string, string | string[] | undefined>,
): Context {
  return propagator.extract(context.active(), carrier, {
    keys: (from) => Object.keys(from),
    get: (from, key) => from[key],
  });
}

/** Injects a trace context into headers. */
export function injectContext(
  from: Context,
  headers: Record<string, string>,
): void {
  propagator.inject(from, headers, {
    set: (into, key, value) => {
      into[key] = value;
    },
  });
}

/** Returns the trace id of a context. */
export function traceIdOf(from: Context): string | undefined {
  return trace.getSpanContext(from)?.traceId;
}

export class Tracing implements Component {
  readonly name = "traces";
  readonly #provider: BasicTracerProvider;
  readonly #recent: RecentSpans;

  constructor(options: TracingOptions) {
    this.#recent = new RecentSpans(options.entry);
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({
        "service.name": "quetzalcoved",
        "service.instance.id": options.entry,
        "cloud.availability_zone": options.zone,
      }),
      sampler: new ParentBasedSampler({
        root: new TraceIdRatioBasedSampler(options.sampleShare),
      }),
      spanProcessors: [
        this.#recent,
        ...createExporters(options).map((e) => new BatchSpanProcessor(e)),
      ],
    });
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.#provider.shutdown();
  }

  /** Starts a span as a child of the span of a context. */
  span(
    name: string,
    parent: Context,
    kind: SpanKind = SpanKind.INTERNAL,
  ): { span: Span; context: Context } {
    const span = this.#provider.getTracer("quetzalcove").startSpan(name, {
      kind,
    }, parent);
    return { span, context: trace.setSpan(parent, span) };
  }

  /** Runs a function in a new span, which ends when the function does. */
  async withSpan<T>(
    name: string,
    parent: Context,
    run: (context: Context, span: Span) => Promise<T>,
  ): Promise<T> {
    const { span, context: inner } = this.span(name, parent);
    try {
      return await run(inner, span);
    } catch (error) {
      span.setStatus({ code: SpanStatusCode.ERROR });
      throw error;
    } finally {
      span.end();
    }
  }

  /** Returns the recent finished spans of a trace. */
  find(traceId: string): SpanRecord[] {
    return this.#recent.find(traceId);
  }
}

function createExporters(options: TracingOptions): SpanExporter[] {
  const exporters: SpanExporter[] = [];
  if (options.folder !== undefined) {
    mkdirSync(options.folder, { recursive: true });
    exporters.push(
      new FileExporter(join(options.folder, `${options.entry}.otlp.jsonl`)),
    );
  }
  if (options.otlpUrl !== undefined) {
    exporters.push(new OTLPTraceExporter({ url: options.otlpUrl }));
  }
  return exporters;
}

/**
 * Traces in the W3C format with a span for each hop, exported as OTLP JSON lines to a file or over OTLP/HTTP.
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

/** Where traces go. */
export interface TraceTarget {
  entry: string;
  zone: string;
  folder?: string;
  otlpUrl?: string;
  /** Share of traces that are recorded when the caller did not decide, 0 to 1. */
  sampleShare: number;
}

/** One finished span, as the admin API shows it. */
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

/** How many finished spans the admin API can look up. */
const MAX_RECENT_SPANS = 4_096;

/** Keeps the latest spans in memory. */
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
    this.#spans[this.#next] = recordOf(span, this.#entry);
    this.#next = (this.#next + 1) % MAX_RECENT_SPANS;
  }

  forceFlush(): Promise<void> {
    return Promise.resolve();
  }

  shutdown(): Promise<void> {
    return Promise.resolve();
  }
}

function recordOf(span: ReadableSpan, entry: string): SpanRecord {
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

/** Appends batches of spans as OTLP JSON, one batch a line. */
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

/** The trace context of a carrier of headers such as `traceparent`. */
export function extractContext(
  carrier: Record<string, string | string[] | undefined>,
): Context {
  return propagator.extract(context.active(), carrier, {
    keys: (from) => Object.keys(from),
    get: (from, key) => from[key],
  });
}

/** Writes the context of a span into headers. */
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

/** The id of the trace that a context belongs to. */
export function traceIdOf(from: Context): string | undefined {
  return trace.getSpanContext(from)?.traceId;
}

export class Tracing implements Component {
  readonly name = "traces";
  readonly #provider: BasicTracerProvider;
  readonly #recent: RecentSpans;

  constructor(target: TraceTarget) {
    this.#recent = new RecentSpans(target.entry);
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({
        "service.name": "quetzalcoved",
        "service.instance.id": target.entry,
        "cloud.availability_zone": target.zone,
      }),
      sampler: new ParentBasedSampler({
        root: new TraceIdRatioBasedSampler(target.sampleShare),
      }),
      spanProcessors: [
        this.#recent,
        ...exporters(target).map((e) => new BatchSpanProcessor(e)),
      ],
    });
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.#provider.shutdown();
  }

  /** Starts a span below the span of a context. */
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

  /** Runs a step under a span of its own, which ends with the step. */
  async within<T>(
    name: string,
    parent: Context,
    step: (context: Context, span: Span) => Promise<T>,
  ): Promise<T> {
    const { span, context: inner } = this.span(name, parent);
    try {
      return await step(inner, span);
    } catch (error) {
      span.setStatus({ code: SpanStatusCode.ERROR });
      throw error;
    } finally {
      span.end();
    }
  }

  /** Recent finished spans of a trace. */
  find(traceId: string): SpanRecord[] {
    return this.#recent.find(traceId);
  }
}

function exporters(target: TraceTarget): SpanExporter[] {
  const found: SpanExporter[] = [];
  if (target.folder !== undefined) {
    mkdirSync(target.folder, { recursive: true });
    found.push(
      new FileExporter(join(target.folder, `${target.entry}.otlp.jsonl`)),
    );
  }
  if (target.otlpUrl !== undefined) {
    found.push(new OTLPTraceExporter({ url: target.otlpUrl }));
  }
  return found;
}

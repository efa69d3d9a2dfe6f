package mintfield.io.tracing

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.logging.otlp.internal.traces.OtlpStdoutSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import mintfield.core.ownership.MoveStep
import mintfield.core.ownership.MoveTracer
import java.io.FileOutputStream
import java.util.concurrent.TimeUnit

/**
 * Appends the steps of moves as spans to [file], one line of OTLP in JSON for each batch, from a thread of its own. A trace context has the
 * form of the W3C header `traceparent`. Throws an `IOException` if the file cannot be opened. Loaded only where operators name a file.
 */
class OpenTelemetryMoveTracer(
    file: String,
    /** The name of the process in the spans. */
    controller: String,
    /** The time of day, in milliseconds. */
    private val wallMs: () -> Long = System::currentTimeMillis,
) : MoveTracer,
    AutoCloseable {
    private val exporter =
        OtlpStdoutSpanExporter
            .builder()
            .setOutput(FileOutputStream(file, true))
            .setWrapperJsonObject(true)
            .build()
    private val provider =
        SdkTracerProvider
            .builder()
            .setResource(Resource.create(Attributes.of(SERVICE_NAME, "mintfield", SERVICE_INSTANCE, controller)))
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).setScheduleDelay(BATCH_MS, TimeUnit.MILLISECONDS).build())
            .build()
    private val tracer: Tracer = provider.get("mintfield.sharing")

    override fun ordered(
        machine: String,
        owner: String,
        target: String,
    ): String {
        val now = wallMs()
        val span =
            tracer
                .spanBuilder("order")
                .setNoParent()
                .setStartTimestamp(now, TimeUnit.MILLISECONDS)
                .startSpan()
        span.setAttribute(MACHINE, machine).setAttribute(OWNER, owner).setAttribute(TARGET, target)
        span.end(now, TimeUnit.MILLISECONDS)
        return header(span.spanContext)
    }

    override fun ended(
        step: MoveStep,
        machine: String,
        shard: String,
        trace: String,
        tookMs: Long,
    ) {
        val now = wallMs()
        val parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), trace, HeaderGetter)
        // A span without a parent would look like a move that nobody ordered.
        if (!Span.fromContext(parent).spanContext.isValid) return
        val span =
            tracer
                .spanBuilder(step.label)
                .setParent(parent)
                .setStartTimestamp(now - tookMs, TimeUnit.MILLISECONDS)
                .startSpan()
        span.setAttribute(MACHINE, machine).setAttribute(SHARD, shard)
        span.end(now, TimeUnit.MILLISECONDS)
    }

    private fun header(context: SpanContext) = "00-${context.traceId}-${context.spanId}-${context.traceFlags.asHex()}"

    /** Writes the spans that have ended to the file, for two seconds at the most. */
    override fun close() {
        provider.shutdown().join(CLOSE_MS, TimeUnit.MILLISECONDS)
    }

    /** Presents a trace context as the only header of a request. */
    private object HeaderGetter : TextMapGetter<String> {
        override fun keys(carrier: String) = listOf(TRACE_PARENT)

        override fun get(
            carrier: String?,
            key: String,
        ): String? = carrier?.takeIf { key == TRACE_PARENT }
    }

    private companion object {
        const val TRACE_PARENT = "traceparent"

        /** Milliseconds between two batches. */
        const val BATCH_MS = 1_000L

        /** Milliseconds that closing may take. */
        const val CLOSE_MS = 2_000L
        val SERVICE_NAME: AttributeKey<String> = AttributeKey.stringKey("service.name")
        val SERVICE_INSTANCE: AttributeKey<String> = AttributeKey.stringKey("service.instance.id")
        val MACHINE: AttributeKey<String> = AttributeKey.stringKey("mintfield.machine")
        val OWNER: AttributeKey<String> = AttributeKey.stringKey("mintfield.owner")
        val TARGET: AttributeKey<String> = AttributeKey.stringKey("mintfield.target")
        val SHARD: AttributeKey<String> = AttributeKey.stringKey("mintfield.share")
    }
}

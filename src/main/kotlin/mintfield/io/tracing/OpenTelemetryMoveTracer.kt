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
 * Writes the steps of machine moves as OpenTelemetry spans. A background thread appends one line of OTLP JSON to [file] for each batch. A
 * trace context has the format of the W3C header `traceparent`. The constructor throws an `IOException` if the file cannot be opened. The
 * class is loaded only if the operators' settings name a file.
 */
class OpenTelemetryMoveTracer(
    file: String,
    /** Name of the controller, set as `service.instance.id` on the spans. */
    controller: String,
    /** Returns the wall-clock time in milliseconds. */
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
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).setScheduleDelay(BATCH_INTERVAL_MS, TimeUnit.MILLISECONDS).build())
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
        // A span without a parent would start a new trace and look like a move without an order.
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

    /** Writes the pending spans to the file; waits at most [CLOSE_TIMEOUT_MS]. */
    override fun close() {
        provider.shutdown().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    /** Presents a trace context to the propagator as a request with the single header `traceparent`. */
    private object HeaderGetter : TextMapGetter<String> {
        override fun keys(carrier: String) = listOf(TRACE_PARENT)

        override fun get(
            carrier: String?,
            key: String,
        ): String? = carrier?.takeIf { key == TRACE_PARENT }
    }

    private companion object {
        const val TRACE_PARENT = "traceparent"

        /** Interval between two batches. */
        const val BATCH_INTERVAL_MS = 1_000L

        /** Maximum time for writing the pending spans on close. */
        const val CLOSE_TIMEOUT_MS = 2_000L
        val SERVICE_NAME: AttributeKey<String> = AttributeKey.stringKey("service.name")
        val SERVICE_INSTANCE: AttributeKey<String> = AttributeKey.stringKey("service.instance.id")
        val MACHINE: AttributeKey<String> = AttributeKey.stringKey("mintfield.machine")
        val OWNER: AttributeKey<String> = AttributeKey.stringKey("mintfield.owner")
        val TARGET: AttributeKey<String> = AttributeKey.stringKey("mintfield.target")
        val SHARD: AttributeKey<String> = AttributeKey.stringKey("mintfield.share")
    }
}

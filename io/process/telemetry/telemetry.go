package telemetry

import (
	"context"
	"io"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cowslipway/io/process/settings"
)

const (
	sampleInitial    = 100 // lines with the same message that are written each second
	sampleThereafter = 100 // of the lines beyond sampleInitial, one in sampleThereafter is written
)

// NewLogger returns a logger that writes JSON lines to standard error and samples repeated messages.
func NewLogger(process settings.Process) (log *zap.Logger, err error) {
	level, err := zapcore.ParseLevel(process.Log.Level)
	if err != nil {
		return nil, errors.Annotate(err, "parsing the log level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = &zap.SamplingConfig{Initial: sampleInitial, Thereafter: sampleThereafter}
	log, err = config.Build()
	if err != nil {
		return nil, errors.Annotate(err, "building the logger")
	}
	return log.With(zap.String("process", process.Name), zap.String("place", process.Place)), nil
}

// NewTracer returns a tracer with the exporter that the settings name; stop exports the remaining spans. The stdout exporter
// writes to stdout.
func NewTracer(ctx context.Context, process settings.Process, stdout io.Writer) (tracer trace.Tracer, stop func(), err error) {
	defer func() { err = errors.Annotate(err, "setting up traces") }()
	var exporter sdktrace.SpanExporter
	switch process.Trace.Exporter {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(process.Trace.Endpoint))
	default:
		return noop.NewTracerProvider().Tracer("cowslipway"), func() {}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(process.Trace.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cowslipway"),
			attribute.String("service.instance.id", process.Name),
			attribute.String("cowslipway.place", process.Place),
		)),
	)
	stop = func() { _ = provider.Shutdown(context.WithoutCancel(ctx)) }
	return provider.Tracer("cowslipway"), stop, nil
}

// propagator encodes and decodes the W3C traceparent header.
var propagator propagation.TraceContext

// Traceparent returns the W3C traceparent of the span in ctx, or an empty string if ctx has none.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// WithTraceparent returns a context in which new spans are children of the span that traceparent identifies.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

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
	sampleFirst = 100 // equal log lines a second that are all written
	sampleThen  = 100 // one in so many of those that follow
)

// NewLogger returns a logger of JSON lines to standard error.
func NewLogger(process settings.Process) (log *zap.Logger, err error) {
	level, err := zapcore.ParseLevel(process.Log.Level)
	if err != nil {
		return nil, errors.Annotate(err, "reading the log level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = &zap.SamplingConfig{Initial: sampleFirst, Thereafter: sampleThen}
	log, err = config.Build()
	if err != nil {
		return nil, errors.Annotate(err, "building the logger")
	}
	return log.With(zap.String("process", process.Name), zap.String("place", process.Place)), nil
}

// NewTracer returns a tracer that exports as the settings say; stop sends what is left.
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

var propagator propagation.TraceContext

// Traceparent returns the W3C traceparent of the span in ctx, empty where there is none.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// WithTraceparent returns a context whose spans follow on traceparent.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

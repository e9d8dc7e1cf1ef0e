//! What an operator sees of the scheduler over OpenTelemetry's OTLP: a span for each request and attempt, and
//! counts of both. Queues are bounded; what does not fit is dropped, and no request ever waits for it.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::trace::{Span, SpanKind, Status, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{
    ExporterBuildError, MetricExporter, SpanExporter, WithExportConfig, WithHttpConfig,
};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::{PeriodicReader, SdkMeterProvider};
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, SdkTracer, SdkTracerProvider, SpanLimits,
};
use pointcross_core::{Answer, Attempt, End, NewRequest};
use pointcross_settings::Parsed;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A collector's answer says little; more is not read.
const MAX_ANSWER: usize = 64 * 1024;

/// What the operator's file sets.
#[derive(Clone, Debug, PartialEq)]
pub struct OtlpConfig {
    /// The collector, such as `http://127.0.0.1:4318`; the signals' paths are added.
    pub endpoint: String,
    /// The service's name in what is sent.
    pub service: String,
    /// Spans queued for export at most; further ones are dropped.
    pub max_spans: usize,
    /// How often spans and counts are sent.
    pub interval: Duration,
    /// How long one export may take.
    pub timeout: Duration,
}

/// Where requests and attempts are noted; does nothing where the operator's file has no `[otlp]`.
#[derive(Clone, Default)]
pub struct Telemetry(Option<Arc<Instruments>>);

struct Instruments {
    traces: SdkTracerProvider,
    metrics: SdkMeterProvider,
    tracer: SdkTracer,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    attempts: Counter<u64>,
    classes: Vec<String>,
    plans: Vec<String>,
    timeout: Duration,
    ending: AtomicBool,
}

impl Telemetry {
    /// Begins to export. Needs the runtime that the exports are to run on.
    ///
    /// # Errors
    /// An exporter that could not be built for the configured endpoint.
    pub fn start(config: &OtlpConfig, name: &str, parsed: &Parsed) -> Result<Self, ExporterBuildError> {
        let client = || Collector::new(config.timeout);
        let url = |signal| format!("{}/v1/{signal}", config.endpoint.trim_end_matches('/'));
        let spans = SpanExporter::builder().with_http().with_http_client(client());
        let spans = spans.with_endpoint(url("traces")).with_timeout(config.timeout).build()?;
        let counts = MetricExporter::builder().with_http().with_http_client(client());
        let counts = counts.with_endpoint(url("metrics")).with_timeout(config.timeout).build()?;

        let resource = Resource::builder()
            .with_service_name(config.service.clone())
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .build();
        let batches = BatchConfigBuilder::default()
            .with_max_queue_size(config.max_spans)
            .with_max_export_batch_size(config.max_spans.min(512))
            .with_scheduled_delay(config.interval)
            .build();
        let processor = BatchSpanProcessor::builder(spans).with_batch_config(batches).build();
        let traces = SdkTracerProvider::builder()
            .with_resource(resource.clone())
            .with_span_limits(SpanLimits::default())
            .with_span_processor(processor)
            .build();
        let reader = PeriodicReader::builder(counts).with_interval(config.interval).build();
        let metrics = SdkMeterProvider::builder().with_resource(resource).with_reader(reader).build();

        let meter = metrics.meter("pointcross");
        Ok(Telemetry(Some(Arc::new(Instruments {
            tracer: traces.tracer("pointcross"),
            requests: meter.u64_counter("pointcross.requests").build(),
            duration: meter.f64_histogram("pointcross.request.duration").with_unit("s").build(),
            attempts: meter.u64_counter("pointcross.attempts").build(),
            traces,
            metrics,
            classes: parsed.classes.clone(),
            plans: parsed.plans.clone(),
            timeout: config.timeout,
            ending: AtomicBool::new(false),
        }))))
    }

    /// Begins the note of a request that came by this front.
    pub fn request(&self, front: &'static str, request: &NewRequest) -> RequestNote {
        let Some(instruments) = self.0.clone() else { return RequestNote(None) };
        let name =
            |names: &[String], number: u16| names.get(usize::from(number)).cloned().unwrap_or_default();
        let labels = vec![
            KeyValue::new("pointcross.front", front),
            KeyValue::new("pointcross.class", name(&instruments.classes, request.class)),
            KeyValue::new("pointcross.plan", name(&instruments.plans, request.plan)),
        ];
        let span = instruments.tracer.span_builder("request").with_kind(SpanKind::Server);
        let mut span = span.with_attributes(labels.clone()).start(&instruments.tracer);
        span.set_attribute(KeyValue::new("pointcross.units", request.units));
        let context = Context::new().with_span(span);
        RequestNote(Some(Noted {
            instruments,
            context,
            labels,
            started: Instant::now(),
            outcome: "abandoned",
        }))
    }

    /// Sends what still waits, for as long as one export may take, and ends.
    pub async fn shutdown(self) {
        let Some(instruments) = self.0 else { return };
        if tokio::time::timeout(instruments.timeout, instruments.end()).await.is_err() {
            tracing::warn!("collector timeout: pending spans and metrics dropped");
        }
    }
}

impl Instruments {
    /// Sends what still waits, once, in a thread that nothing has to wait for: the SDK's threads export on
    /// this runtime, and some take longer than they are asked to.
    fn end(&self) -> oneshot::Receiver<()> {
        let (done, ended) = oneshot::channel();
        if !self.ending.swap(true, Ordering::Relaxed) {
            let (traces, metrics, timeout) = (self.traces.clone(), self.metrics.clone(), self.timeout);
            std::thread::spawn(move || {
                if let Err(error) = traces.shutdown_with_timeout(timeout) {
                    tracing::warn!(%error, "span export failed");
                }
                if let Err(error) = metrics.shutdown_with_timeout(timeout) {
                    tracing::warn!(%error, "metric export failed");
                }
                let _ = done.send(());
            });
        }
        ended
    }
}

impl Drop for Instruments {
    /// Guards against the providers' own drop, which waits for a silent collector for seconds, on whatever
    /// thread drops them: here the one that serves.
    fn drop(&mut self) {
        drop(self.end());
    }
}

/// The note of one request; ends with its answer, or as abandoned when it is dropped before.
#[derive(Default)]
pub struct RequestNote(Option<Noted>);

struct Noted {
    instruments: Arc<Instruments>,
    context: Context,
    labels: Vec<KeyValue>,
    started: Instant,
    outcome: &'static str,
}

impl RequestNote {
    /// Ends the note with the request's final answer.
    pub fn answered<A>(mut self, answer: &Answer<A>) {
        let Some(noted) = &mut self.0 else { return };
        noted.outcome = answer.name();
        if let Answer::Refused { retry_after } = answer {
            let seconds = KeyValue::new("pointcross.retry_after", retry_after.as_secs_f64());
            noted.context.span().set_attribute(seconds);
        }
    }

    /// Begins the note of one of the request's attempts.
    pub fn attempt(&self, attempt: &Attempt) -> AttemptNote {
        AttemptNote(self.0.as_ref().map(|noted| {
            let tracer = &noted.instruments.tracer;
            let span = tracer.span_builder("attempt").with_kind(SpanKind::Client).with_attributes([
                KeyValue::new("pointcross.node", attempt.target.name.clone()),
                KeyValue::new("pointcross.attempt", i64::from(attempt.number)),
                KeyValue::new("server.address", attempt.target.address.ip().to_string()),
                KeyValue::new("server.port", i64::from(attempt.target.address.port())),
            ]);
            let span = span.start_with_context(tracer, &noted.context);
            let context = noted.context.with_span(span);
            NotedAttempt { instruments: noted.instruments.clone(), context, outcome: "given up" }
        }))
    }
}

impl Drop for Noted {
    fn drop(&mut self) {
        let span = self.context.span();
        span.set_attribute(KeyValue::new("pointcross.outcome", self.outcome));
        if self.outcome == "failed" {
            span.set_status(Status::error("failed"));
        }
        span.end();
        self.labels.push(KeyValue::new("pointcross.outcome", self.outcome));
        self.instruments.requests.add(1, &self.labels);
        self.instruments.duration.record(self.started.elapsed().as_secs_f64(), &self.labels);
    }
}

/// The note of one attempt; given up where it is dropped before its end.
pub struct AttemptNote(Option<NotedAttempt>);

struct NotedAttempt {
    instruments: Arc<Instruments>,
    context: Context,
    outcome: &'static str,
}

impl AttemptNote {
    /// Ends the note.
    pub fn ended<A>(mut self, end: &End<A>) {
        let Some(noted) = &mut self.0 else { return };
        noted.outcome = match end {
            End::Served(_) => "served",
            End::Error => "error",
            End::Rejected => "turned away",
            End::NoConnection => "no connection",
            End::Reset => "reset",
            End::NotSent => "not sent",
        };
    }
}

impl Drop for NotedAttempt {
    fn drop(&mut self) {
        let outcome = KeyValue::new("pointcross.outcome", self.outcome);
        self.context.span().set_attribute(outcome.clone());
        self.context.span().end();
        // Counts go without the node's id, which its span has: ids are ever new, and each would stay a series
        // of its own for as long as the program runs.
        self.instruments.attempts.add(1, &[outcome]);
    }
}

/// The way to the collector: hyper-util's client on the program's runtime, awaited by the SDK's own threads.
#[derive(Debug)]
struct Collector {
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: Handle,
    timeout: Duration,
}

impl Collector {
    fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        Collector { client, runtime: Handle::current(), timeout }
    }
}

impl HttpClient for Collector {
    // As `async_trait` writes it, without that crate.
    fn send_bytes<'a, 'b>(
        &'a self,
        request: Request<Bytes>,
    ) -> Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'b>>
    where
        'a: 'b,
        Self: 'b,
    {
        let (client, timeout) = (self.client.clone(), self.timeout);
        let sending = self.runtime.spawn(async move {
            let answer = async {
                let response = client.request(request.map(Full::new)).await?;
                let (head, body) = response.into_parts();
                let body = Limited::new(body, MAX_ANSWER).collect().await?.to_bytes();
                Ok::<_, HttpError>(Response::from_parts(head, body))
            };
            tokio::time::timeout(timeout, answer).await?
        });
        Box::pin(async move { sending.await? })
    }
}

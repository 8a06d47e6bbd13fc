package org.comfreygap.runtime;

import com.codahale.metrics.health.HealthCheck;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.BootstrapLogging;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The embedded Dropwizard server of a program: an HTTP connector for its resources and one for
 * administration, which serves metrics, health, readiness and the timeline.
 *
 * <pre>{@code
 * ServiceShell shell =
 *     ServiceShell.builder("gateway")
 *         .http(httpAddress)
 *         .admin(adminAddress)
 *         .events(events)
 *         .resources(environment -> environment.jersey().register(resource))
 *         .ready(agent::admits)
 *         .start();
 * }</pre>
 *
 * <p>Invariant: once {@link Builder#start} returns, both connectors accept connections. Thread
 * safety: {@link #close} may be called from any thread.
 *
 * @since 0.1
 */
public final class ServiceShell implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ServiceShell.class);

  // Short, since a caller that does not read holds up the stop for as long.
  private static final java.time.Duration RESPONSE_TIMEOUT = java.time.Duration.ofSeconds(3);

  private final Server server;
  private final PrometheusMeterRegistry metrics;

  private ServiceShell(Server server, PrometheusMeterRegistry metrics) {
    this.server = server;
    this.metrics = metrics;
  }

  /** Returns a builder of a server. */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /** Returns the registry that {@code /metrics} exports. */
  public PrometheusMeterRegistry metrics() {
    return metrics;
  }

  /** Stops the connectors; requests in progress may end within the server's grace period. */
  @Override
  public void close() {
    try {
      awaitResponses();
      server.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      throw new IllegalStateException("failed to stop the HTTP connectors", e);
    }
  }

  /**
   * Refuses further requests with 503 and waits for the responses in progress: from its stop on,
   * the server closes each connection whose caller pauses for a second.
   */
  private void awaitResponses() throws InterruptedException {
    for (GracefulHandler handler : server.getDescendants(GracefulHandler.class)) {
      try {
        handler.shutdown().get(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      } catch (ExecutionException | TimeoutException e) {
        LOG.debug("responses are in progress after {}", RESPONSE_TIMEOUT, e);
      }
    }
  }

  /** Configures and starts a server. Not thread-safe. */
  public static final class Builder {

    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 2;
    private static final int ADMIN_THREADS = 8;

    private final String name;
    private final PrometheusMeterRegistry metrics =
        new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final List<Consumer<Environment>> resources = new ArrayList<>();
    private InetSocketAddress http;
    private InetSocketAddress admin;
    private EventLog events;
    private BooleanSupplier ready = () -> true;
    private String logLevel = "INFO";
    private int threads = 64;
    private java.time.Duration idleTimeout = java.time.Duration.ofSeconds(30);

    private Builder(String name) {
      this.name = name;
    }

    /** Sets the address of the connector for the program's resources. */
    public Builder http(InetSocketAddress address) {
      this.http = address;
      return this;
    }

    /** Sets the address of the administration connector. */
    public Builder admin(InetSocketAddress address) {
      this.admin = address;
      return this;
    }

    /** Sets the event log whose timeline is served. */
    public Builder events(EventLog log) {
      this.events = log;
      return this;
    }

    /** Sets the readiness that {@code /ready} reports: 200 when true, 503 otherwise. */
    public Builder ready(BooleanSupplier readiness) {
      this.ready = readiness;
      return this;
    }

    /** Sets the maximum number of threads that serve requests. */
    public Builder threads(int count) {
      this.threads = count;
      return this;
    }

    /** Sets the lowest level of log lines that are written, such as {@code INFO}. */
    public Builder logLevel(String level) {
      this.logLevel = level;
      return this;
    }

    /** Sets how long a connection may be idle while a request is read or written. */
    public Builder idleTimeout(java.time.Duration timeout) {
      this.idleTimeout = timeout;
      return this;
    }

    /** Adds a callback that registers resources, filters or managed objects. */
    public Builder resources(Consumer<Environment> registration) {
      resources.add(registration);
      return this;
    }

    /** Returns the registry that {@code /metrics} will export, to register meters early. */
    public PrometheusMeterRegistry metrics() {
      return metrics;
    }

    /**
     * Starts the server.
     *
     * @throws Exception when a connector cannot be bound
     */
    public ServiceShell start() throws Exception {
      new JvmMemoryMetrics().bindTo(metrics);
      new JvmThreadMetrics().bindTo(metrics);
      new ProcessorMetrics().bindTo(metrics);
      metrics.gauge("comfreygap.events.dropped", events, EventLog::dropped);
      ShellApplication application = new ShellApplication(this);
      application.run("server");
      if (application.failure.isPresent()) {
        throw new IOException("cannot start the HTTP server", application.failure.get());
      }
      return new ServiceShell(application.server, metrics);
    }

    private Configuration configuration() {
      DefaultServerFactory factory = new DefaultServerFactory();
      factory.setApplicationConnectors(List.of(connector(http)));
      factory.setAdminConnectors(List.of(connector(admin)));
      factory.setMaxThreads(threads + SELECTORS + ACCEPTORS);
      factory.setMinThreads(8);
      factory.setAdminMaxThreads(ADMIN_THREADS);
      factory.setAdminMinThreads(1);
      factory.setRegisterDefaultExceptionMappers(true);
      factory.setDetailedJsonProcessingExceptionMapper(false);
      // Compression would buffer the parts of a streamed response.
      factory.getGzipFilterFactory().setEnabled(false);
      factory.setShutdownGracePeriod(Duration.seconds(30));
      // The timeline records requests; an access log would write a line for each of them.
      LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
      requestLog.setAppenders(List.of());
      factory.setRequestLogFactory(requestLog);
      // The filter puts the request URI into thread names; its query may contain a caller's key.
      factory.setEnableThreadNameFilter(false);
      // Compression buffers, which would delay the events of a stream.
      factory.getGzipFilterFactory().setEnabled(false);
      Configuration configuration = new Configuration();
      configuration.setServerFactory(factory);
      configuration.setLoggingFactory(new StructuredLogging(logLevel));
      return configuration;
    }

    private HttpConnectorFactory connector(InetSocketAddress address) {
      HttpConnectorFactory connector = new HttpConnectorFactory();
      connector.setBindHost(address.getHostString());
      connector.setPort(address.getPort());
      connector.setAcceptorThreads(Optional.of(ACCEPTORS));
      connector.setSelectorThreads(Optional.of(SELECTORS));
      connector.setIdleTimeout(Duration.milliseconds(idleTimeout.toMillis()));
      connector.setMaxRequestHeaderSize(DataSize.kibibytes(16));
      connector.setUseDateHeader(false);
      return connector;
    }
  }

  private static final class ShellApplication extends Application<Configuration> {

    private final Builder builder;
    private Optional<Throwable> failure = Optional.empty();
    private Server server;

    ShellApplication(Builder builder) {
      this.builder = builder;
    }

    @Override
    public String getName() {
      return builder.name;
    }

    @Override
    public void initialize(Bootstrap<Configuration> bootstrap) {
      Configuration configuration = builder.configuration();
      bootstrap.setConfigurationFactoryFactory(
          (type, validator, mapper, prefix) -> new FixedConfigurationFactory(configuration));
    }

    @Override
    public void run(Configuration configuration, Environment environment) {
      environment
          .lifecycle()
          .addServerLifecycleListener(
              started -> {
                server = started;
                // The program stops its parts in order; a shutdown hook of the server would run in
                // parallel.
                started.setStopAtShutdown(false);
              });
      environment
          .admin()
          .addServlet("metrics-text", new AdminServlets.Metrics(builder.metrics))
          .addMapping("/metrics");
      environment
          .admin()
          .addServlet("ready", new AdminServlets.Ready(builder.ready))
          .addMapping("/ready");
      environment
          .admin()
          .addServlet("timeline", new AdminServlets.TimelineEvents(builder.events.timeline()))
          .addMapping("/timeline");
      environment.healthChecks().register("ready", new ReadyCheck(builder.ready));
      builder.resources.forEach(registration -> registration.accept(environment));
    }

    @Override
    protected void onFatalError(Throwable error) {
      // The default exits the process before the program can report the cause.
      failure = Optional.of(error);
    }

    @Override
    protected void bootstrapLogging() {
      BootstrapLogging.bootstrap(ch.qos.logback.classic.Level.WARN);
    }
  }

  private static final class ReadyCheck extends HealthCheck {

    private final BooleanSupplier ready;

    ReadyCheck(BooleanSupplier ready) {
      this.ready = ready;
    }

    @Override
    protected Result check() {
      return ready.getAsBoolean() ? Result.healthy() : Result.unhealthy("not accepting new work");
    }
  }
}

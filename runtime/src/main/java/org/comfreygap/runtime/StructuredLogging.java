package org.comfreygap.runtime;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import com.codahale.metrics.MetricRegistry;
import io.dropwizard.logging.common.LoggingFactory;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configures the log of a program: one JSON object per line on standard output.
 *
 * <pre>{@code
 * StructuredLogging.install("INFO");
 * }</pre>
 *
 * <p>Logging is configured in code, so that a restarted program serves requests sooner than if it
 * parsed an XML file first. Invariant: no line contains the mapped diagnostic context (MDC), which
 * libraries fill with addresses. Thread safety: used once, before the program's threads start.
 *
 * @since 0.3
 */
public final class StructuredLogging implements LoggingFactory {

  private final String level;

  /** Creates the factory with which Dropwizard configures logging at {@code level}. */
  StructuredLogging(String level) {
    this.level = level;
  }

  /**
   * Replaces the current log configuration with JSON lines on standard output.
   *
   * @param level name of the lowest level that is written, such as {@code INFO}
   */
  public static void install(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    encoder.setWithContext(false);
    encoder.setWithMarkers(false);
    encoder.setWithMDC(false);
    encoder.setWithArguments(false);
    encoder.setWithMessage(false);
    encoder.setWithFormattedMessage(true);
    encoder.start();
    ConsoleAppender<ILoggingEvent> output = new ConsoleAppender<>();
    output.setContext(context);
    output.setEncoder(encoder);
    output.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(output);
    root.setLevel(Level.toLevel(level, Level.INFO));
    // Thrift logs each connection closed by a peer as an error; Netty logs its feature detection.
    context.getLogger("org.apache.thrift").setLevel(Level.OFF);
    context.getLogger("io.netty").setLevel(Level.ERROR);
    // The startup messages of the HTTP server delay a restart and carry no useful information.
    for (String name : List.of("org.eclipse.jetty", "io.dropwizard", "org.glassfish")) {
      context.getLogger(name).setLevel(Level.WARN);
    }
  }

  @Override
  public void configure(MetricRegistry metricRegistry, String name) {
    install(level);
  }

  @Override
  public void stop() {
    // Log lines of the shutdown itself are still to be written.
  }

  @Override
  public void reset() {
    install(level);
  }
}

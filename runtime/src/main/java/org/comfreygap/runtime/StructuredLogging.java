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
 * Sets up the log of a program: one JSON object for each line on standard output.
 *
 * <pre>{@code
 * StructuredLogging.install("INFO");
 * }</pre>
 *
 * <p>It is set up in code, so that a restarted program does not read an XML file before it serves.
 * Invariant: no line holds a thread's diagnostic context, which libraries fill with addresses.
 * Thread safety: used once, before the program's threads start.
 *
 * @since 0.3
 */
public final class StructuredLogging implements LoggingFactory {

  private final String level;

  /** Creates the factory that Dropwizard asks to set up the log at {@code level}. */
  StructuredLogging(String level) {
    this.level = level;
  }

  /**
   * Replaces whatever is set up by JSON lines on standard output.
   *
   * @param level name of the least level that is written, such as {@code INFO}
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
    // Thrift logs each connection that a peer closes as an error, Netty its search for features.
    context.getLogger("org.apache.thrift").setLevel(Level.OFF);
    context.getLogger("io.netty").setLevel(Level.ERROR);
    // What the HTTP server says of its own start costs a restarted program time and tells nothing.
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
    // The lines of the stop itself are still to be written.
  }

  @Override
  public void reset() {
    install(level);
  }
}

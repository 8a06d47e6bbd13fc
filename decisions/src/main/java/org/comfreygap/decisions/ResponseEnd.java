package org.comfreygap.decisions;

import java.util.Locale;
import java.util.Optional;

/**
 * Decides whether a response whose end has arrived is whole.
 *
 * <p>A response with a length or chunks states its end. One without either ends with its
 * connection, as a response that breaks off does. Two things tell them apart: a stream is whole
 * only after a whole event, and an endpoint that ended with the connection did not finish the
 * response, unless it was leaving and free to end after it.
 *
 * <pre>{@code
 * ResponseEnd.Stream events = new ResponseEnd.Stream(true, false);
 * ResponseEnd end = ResponseEnd.of(Framing.CONNECTION, Optional.of(events), Endpoint.ACCEPTS);
 * }</pre>
 *
 * <p>Invariant: a response that states its end, and has reached it, is whole. Thread safety:
 * immutable.
 *
 * @since 0.5
 */
public enum ResponseEnd {
  /** Nothing speaks against it. */
  WHOLE(""),
  /** The last event is not complete. */
  INSIDE_EVENT("the stream ended inside an event"),
  /** No event has arrived. */
  WITHOUT_EVENT("the stream ended before its first event"),
  /** The endpoint has ended together with the connection. */
  WITH_ENDPOINT("the response ended together with its endpoint");

  private final String reason;

  ResponseEnd(String reason) {
    this.reason = reason;
  }

  /** What marks the end of a response's body. */
  public enum Framing {
    /** The stated number of bytes. */
    LENGTH,
    /** The last chunk. */
    CHUNKS,
    /** Nothing but the end of the connection. */
    CONNECTION;

    /** Returns the name for logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** What is known of the endpoint after the connection has ended. */
  public enum Endpoint {
    /** It accepts connections, or keeps others open, so that it goes on serving. */
    ACCEPTS,
    /** It refuses connections and has closed all others: it has ended. */
    REFUSES,
    /** It was leaving, or did not reply, so that nothing can be concluded. */
    UNKNOWN;

    /**
     * Returns the state of an endpoint that refused a connection. It may do so because it takes no
     * more than it has.
     *
     * @param openConnections connections to it whose end would have been noticed, and that are open
     */
    public static Endpoint ofRefusal(int openConnections) {
      return openConnections > 0 ? ACCEPTS : REFUSES;
    }

    /**
     * Returns what this state means for an endpoint that ends at a deadline: unless it accepts
     * connections, the deadline has ended it.
     */
    public Endpoint atDeadline() {
      return this == ACCEPTS ? ACCEPTS : REFUSES;
    }

    /** Returns the name for logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * The events of a stream.
   *
   * @param received true when a whole event has arrived
   * @param insideEvent true when the last bytes belong to an event that is not complete
   */
  public record Stream(boolean received, boolean insideEvent) {}

  /**
   * Returns true when it has to be found out whether the endpoint goes on serving.
   *
   * @param mayEndAfterResponse true when the endpoint is leaving and ends after its last response;
   *     one that ends at a set time may cut a response off
   */
  public static boolean needsCheck(Framing framing, boolean mayEndAfterResponse) {
    return framing == Framing.CONNECTION && !mayEndAfterResponse;
  }

  /**
   * Returns how a response ended.
   *
   * @param stream the events, of a response that is an event stream
   */
  public static ResponseEnd of(Framing framing, Optional<Stream> stream, Endpoint endpoint) {
    if (framing != Framing.CONNECTION) {
      return WHOLE;
    }
    if (stream.filter(Stream::insideEvent).isPresent()) {
      return INSIDE_EVENT;
    }
    if (stream.filter(events -> !events.received()).isPresent()) {
      return WITHOUT_EVENT;
    }
    return endpoint == Endpoint.REFUSES ? WITH_ENDPOINT : WHOLE;
  }

  /** Returns why the response is not whole; empty for a whole one. */
  public String reason() {
    return reason;
  }
}

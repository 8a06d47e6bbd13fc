package org.comfreygap.sidecar;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleResponseConsumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Receives the response to a call, whole and of a limited size.
 *
 * <p>Invariant: a response beyond the limits fails, and with it its connection. Thread safety: used
 * by the I/O thread of its connection.
 */
final class CallConsumer implements AsyncResponseConsumer<SimpleHttpResponse> {

  /** Interim responses that are skipped before a response. */
  static final int MAX_INTERIM_RESPONSES = 1_000;

  private final AsyncResponseConsumer<SimpleHttpResponse> whole = SimpleResponseConsumer.create();
  private final int maxBytes;
  private int received;
  private int interimResponses;

  /** Creates a consumer of a response whose body has at most {@code maxBytes}. */
  CallConsumer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the failure of a response that follows too many interim ones. */
  static MessageConstraintException tooManyInterimResponses() {
    return new MessageConstraintException(
        "given more than " + MAX_INTERIM_RESPONSES + " interim responses, expected a response");
  }

  @Override
  public void consumeResponse(
      HttpResponse response,
      EntityDetails entity,
      HttpContext context,
      FutureCallback<SimpleHttpResponse> callback)
      throws HttpException, IOException {
    whole.consumeResponse(response, entity, context, callback);
  }

  @Override
  public void informationResponse(HttpResponse response, HttpContext context) throws IOException {
    interimResponses++;
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      throw tooManyInterimResponses();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    whole.updateCapacity(channel);
  }

  @Override
  public void consume(ByteBuffer bytes) throws IOException {
    received += bytes.remaining();
    if (received > maxBytes) {
      throw new MessageConstraintException(
          "given a response of more than " + maxBytes + " bytes, expected at most that");
    }
    whole.consume(bytes);
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
    whole.streamEnd(trailers);
  }

  @Override
  public void failed(Exception cause) {
    whole.failed(cause);
  }

  @Override
  public void releaseResources() {
    whole.releaseResources();
  }
}

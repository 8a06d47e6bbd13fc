package org.comfreygap.sidecar;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Receives one response from the endpoint, checks that it belongs to the attempt and is complete,
 * and accepts no more bytes than were demanded.
 *
 * <p>Invariant: the listener receives exactly one completion or failure. Thread safety: the I/O
 * thread calls the listener; {@link #demand} and {@link #abort} may be called from any thread.
 */
final class ResponseConsumer implements AsyncResponseConsumer<Void>, EngineClient.ResponseHandle {

  static final String BOOT_ID_HEADER = "x-boot-id";
  private static final String REQUEST_ID_HEADER = "x-request-id";

  private final String attemptId;
  private final boolean checked;
  private final EngineClient.ResponseListener listener;
  private ResponseCompleteness completeness;
  private boolean ended;
  private CapacityChannel channel;
  private int pendingDemand;
  private Future<Void> exchange;
  private boolean aborted;
  private FutureCallback<Void> result;
  private int interimResponses;

  ResponseConsumer(String attemptId, boolean checked, EngineClient.ResponseListener listener) {
    this.attemptId = attemptId;
    this.checked = checked;
    this.listener = listener;
  }

  /** Returns a consumer that continues the response interrupted in this one. */
  ResponseConsumer resumeWith(EngineClient.ResponseListener newListener) {
    ResponseConsumer next = new ResponseConsumer(attemptId, checked, newListener);
    next.completeness = completeness;
    return next;
  }

  /** Returns the attempt id. */
  String attemptId() {
    return attemptId;
  }

  /** Sets the exchange that {@link #abort} cancels. */
  void setExchange(Future<Void> future) {
    boolean cancel;
    synchronized (this) {
      exchange = future;
      cancel = aborted;
    }
    if (cancel) {
      future.cancel(true);
    }
  }

  /** Returns the callback for the exchange. */
  FutureCallback<Void> callback() {
    return new FutureCallback<>() {
      @Override
      public void completed(Void result) {
        // The listener was already notified by streamEnd.
      }

      @Override
      public void failed(Exception failure) {
        fail(HttpEngineClient.translate(failure));
      }

      @Override
      public void cancelled() {
        fail(new EngineException(EngineException.Kind.BROKEN, "the exchange was aborted", null));
      }
    };
  }

  @Override
  public void demand(int bytes) {
    CapacityChannel known;
    synchronized (this) {
      known = channel;
      if (known == null) {
        pendingDemand += bytes;
        return;
      }
    }
    try {
      known.update(bytes);
    } catch (IOException e) {
      fail(HttpEngineClient.translate(e));
    }
  }

  @Override
  public void abort() {
    Future<Void> known;
    synchronized (this) {
      aborted = true;
      known = exchange;
    }
    if (known != null) {
      known.cancel(true);
    }
  }

  @Override
  public void consumeResponse(
      HttpResponse response,
      EntityDetails entity,
      HttpContext context,
      FutureCallback<Void> resultCallback)
      throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (Header header : response.getHeaders()) {
      headers.putIfAbsent(header.getName().toLowerCase(Locale.ROOT), header.getValue());
    }
    String echoed = headers.get(REQUEST_ID_HEADER);
    boolean wrongRequestId =
        checked ? !attemptId.equals(echoed) : echoed != null && !attemptId.equals(echoed);
    if (wrongRequestId) {
      EngineException failure =
          new EngineException(
              EngineException.Kind.MISMATCHED,
              "the response carries request id " + echoed + ", expected " + attemptId,
              null);
      fail(failure);
      throw new IOException(failure);
    }
    if (completeness == null) {
      completeness = ResponseCompleteness.forHeaders(headers, checked, entity != null);
    }
    String bootId = headers.getOrDefault(BOOT_ID_HEADER, "");
    listener.onHead(response.getCode(), headers, bootId);
    if (entity == null) {
      finish();
      resultCallback.completed(null);
    } else {
      this.result = resultCallback;
    }
  }

  @Override
  public void informationResponse(HttpResponse response, HttpContext context) throws IOException {
    interimResponses++;
    if (interimResponses > CallConsumer.MAX_INTERIM_RESPONSES) {
      throw CallConsumer.tooManyInterimResponses();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel capacityChannel) throws IOException {
    int bytes;
    synchronized (this) {
      channel = capacityChannel;
      bytes = pendingDemand;
      pendingDemand = 0;
    }
    if (bytes > 0) {
      capacityChannel.update(bytes);
    }
  }

  @Override
  public void consume(ByteBuffer source) {
    // Only accepted bytes count towards completeness, since a resumed response continues from them.
    if (listener.onData(source.duplicate())) {
      completeness.update(source);
    }
    source.position(source.limit());
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    finish();
    if (result != null) {
      result.completed(null);
    }
  }

  @Override
  public void failed(Exception cause) {
    fail(HttpEngineClient.translate(cause));
  }

  @Override
  public void releaseResources() {
    // No resources: buffers belong to the connection.
  }

  private void finish() {
    if (!markEnded()) {
      return;
    }
    if (completeness.complete()) {
      listener.onComplete(completeness.totalTokens());
    } else {
      listener.onFailure(
          new EngineException(
              EngineException.Kind.TRUNCATED, "the response ended without its end marker", null));
    }
  }

  private void fail(EngineException failure) {
    if (markEnded()) {
      listener.onFailure(failure);
    }
  }

  private synchronized boolean markEnded() {
    boolean first = !ended;
    ended = true;
    return first;
  }
}

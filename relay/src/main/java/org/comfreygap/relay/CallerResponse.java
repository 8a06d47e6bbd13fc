package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;

/**
 * The response of one request to its caller, which knows how far it is.
 *
 * <p>Invariant: nothing is written after the end of the response, except that a response of which a
 * part may have left is aborted. Thread safety: used on the event loop only.
 */
final class CallerResponse implements Caller {

  private final Caller caller;
  private boolean begun;
  private boolean ended;

  CallerResponse(Caller caller) {
    this.caller = caller;
  }

  @Override
  public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    begun = true;
    caller.sendResponse(status, headers, body);
    ended = true;
  }

  @Override
  public void beginResponse(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {
    begun = true;
    caller.beginResponse(status, headers, length);
  }

  @Override
  public void sendPart(ByteBuf bytes) {
    caller.sendPart(bytes);
  }

  @Override
  public void endResponse() {
    caller.endResponse();
    ended = true;
  }

  @Override
  public void abort() {
    ended = true;
    caller.abort();
  }

  @Override
  public boolean readArrived() {
    return caller.readArrived();
  }

  @Override
  public boolean writable() {
    return caller.writable();
  }

  /** Records that the caller has gone, so that nothing more is written. */
  void callerGone() {
    ended = true;
  }

  /**
   * Ends the response after an error of this process, unless it has ended.
   *
   * @param mayHaveRun true when the response must not say that the request has not run
   */
  void endAfterError(boolean mayHaveRun) {
    if (ended) {
      return;
    }
    if (begun) {
      abort();
      return;
    }
    try {
      if (mayHaveRun) {
        sendResponse(
            HttpResponseStatus.BAD_GATEWAY,
            EmptyHttpHeaders.INSTANCE,
            Refusal.text("this gateway failed while the request ran"));
      } else {
        Refusal refusal = Refusal.GATEWAY_ERROR;
        sendResponse(refusal.status(), refusal.headers(), refusal.body());
      }
    } finally {
      if (!ended) {
        abort();
      }
    }
  }
}

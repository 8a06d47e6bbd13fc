package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;

/**
 * The caller's side of an exchange, to which the response is written.
 *
 * <p>Thread safety: used on the event loop only.
 */
interface Caller {

  /** Sends a complete response. */
  void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /**
   * Starts a response whose body follows; without a length it is chunked, or ends with the
   * connection where the caller knows no chunks.
   */
  void beginResponse(HttpResponseStatus status, HttpHeaders headers, OptionalLong length);

  /** Sends a part of the body. */
  void sendPart(ByteBuf bytes);

  /** Ends the response. */
  void endResponse();

  /** Closes or resets the connection, so that a started response cannot look complete. */
  void abort();

  /**
   * Reads what the caller has sent and is not read yet, or the end of its connection; not to be
   * called while the connection is being read.
   *
   * @return false when the connection has ended, of which the exchange is told in a later turn
   */
  boolean readArrived();

  /** Returns false while the write buffer is full because the caller reads slowly. */
  boolean writable();
}

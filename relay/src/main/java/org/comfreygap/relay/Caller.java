package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;

/**
 * The caller's side of one request, as its exchange sees it.
 *
 * <p>Thread safety: used on the event loop only.
 */
interface Caller {

  /** Sends a whole answer. */
  void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Begins an answer whose body follows; without a length it is sent in chunks. */
  void beginResponse(HttpResponseStatus status, HttpHeaders headers, OptionalLong length);

  /** Sends a part of the body. */
  void sendPart(ByteBuf bytes);

  /** Completes the answer. */
  void endResponse();

  /** Closes the connection, so that an answer that has begun cannot look complete. */
  void abort();

  /** Returns false while the caller does not take what was sent. */
  boolean writable();
}

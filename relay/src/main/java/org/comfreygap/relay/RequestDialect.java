package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The names of headers between callers, the gateway and endpoints.
 *
 * <p>Implementations translate and decide nothing. Thread safety: implementations are stateless.
 *
 * @since 0.2
 */
public interface RequestDialect {

  /**
   * Reads what a caller states.
   *
   * @throws MalformedRequestException when a value is missing or cannot be read
   */
  CallerRequest readRequest(HttpRequest head) throws MalformedRequestException;

  /**
   * Writes the headers of a request to an endpoint: those of the caller that are not the gateway's
   * to set, and those that {@code dispatch} gives. Headers of one connection are left out.
   */
  void writeHeaders(HttpHeaders fromCaller, Dispatch dispatch, HttpHeaders toEndpoint);

  /** Reads what an endpoint states in the head of its answer. */
  ResponseHead readResponse(HttpResponse head);
}

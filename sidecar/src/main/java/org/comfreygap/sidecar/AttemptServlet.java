package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.AsyncContext;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.SharedKey;

/**
 * {@code POST /attempts}: accepts one attempt and streams its frames. This is a servlet, since a
 * Jersey resource would occupy a thread for each open stream.
 *
 * <p>Invariant: an attempt without a valid signature is not parsed. Thread safety: stateless but
 * for thread-safe collaborators.
 */
@Singleton
final class AttemptServlet extends HttpServlet {

  /** Path of the servlet; part of the signed content. */
  static final String PATH = "/attempts";

  /** Maximum size of an attempt in bytes. */
  static final int MAX_BYTES = 8 * 1024 * 1024;

  // Frames are flushed individually, so the default of 32 KiB per stream would waste memory.
  private static final int BUFFER_BYTES = 4 * 1024;
  private static final long serialVersionUID = 1L;
  private static final String CONTENT_TYPE = "application/vnd.apache.thrift.compact";

  private final transient SharedKey key;
  private final transient AttemptController controller;
  private final transient AttemptStreams streams;
  private final transient EventLog events;

  @Inject
  AttemptServlet(
      SharedKey key, AttemptController controller, AttemptStreams streams, EventLog events) {
    this.key = key;
    this.controller = controller;
    this.streams = streams;
    this.events = events;
  }

  @Override
  protected void doPost(HttpServletRequest request, HttpServletResponse response)
      throws IOException {
    byte[] body = request.getInputStream().readNBytes(MAX_BYTES + 1);
    if (body.length > MAX_BYTES) {
      response.setStatus(HttpServletResponse.SC_REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (!key.verifyHttp(request.getHeader(SharedKey.SIGNATURE_HEADER), PATH, body)) {
      events.record(SidecarEvent.SIGNATURE_REJECTED, Field.of("peer", request.getRemoteAddr()));
      response.setStatus(HttpServletResponse.SC_UNAUTHORIZED);
      return;
    }
    AttemptRequest attempt = new AttemptRequest();
    try {
      new TDeserializer(new TCompactProtocol.Factory()).deserialize(attempt, body);
    } catch (TException e) {
      response.setStatus(HttpServletResponse.SC_BAD_REQUEST);
      return;
    }
    response.setContentType(CONTENT_TYPE);
    response.setBufferSize(BUFFER_BYTES);
    AsyncContext context = request.startAsync();
    context.setTimeout(0);
    AttemptStream stream = new AttemptStream(attempt.getAttemptId(), context, streams);
    context.addListener(stream);
    streams.add(stream);
    controller.receive(attempt, stream);
    response.getOutputStream().setWriteListener(stream);
  }
}

package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Response;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.CancelReply;
import org.comfreygap.protocol.generated.CancelRequest;
import org.comfreygap.runtime.SharedKey;

/**
 * {@code POST /attempts/cancel}: cancels an attempt and returns its known outcome.
 *
 * <p>Thread safety: stateless but for thread-safe collaborators.
 *
 * @since 0.1
 */
@Path("/attempts/cancel")
public final class CancelResource {

  private static final String PATH = "/attempts/cancel";

  private final SharedKey key;
  private final AttemptController controller;

  @Inject
  CancelResource(SharedKey key, AttemptController controller) {
    this.key = key;
    this.controller = controller;
  }

  /** Cancels the attempt named in the Thrift body. */
  @POST
  public Response cancel(@HeaderParam(SharedKey.SIGNATURE_HEADER) String signature, byte[] body)
      throws TException {
    if (!key.verifyHttp(signature, PATH, body)) {
      return Response.status(Response.Status.UNAUTHORIZED).build();
    }
    CancelRequest request = new CancelRequest();
    try {
      new TDeserializer(new TCompactProtocol.Factory()).deserialize(request, body);
    } catch (TException e) {
      return Response.status(Response.Status.BAD_REQUEST).build();
    }
    CancelReply reply = controller.cancel(request.getAttemptId());
    byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(reply);
    return Response.ok(bytes, "application/vnd.apache.thrift.compact").build();
  }
}

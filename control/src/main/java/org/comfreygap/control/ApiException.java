package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import org.comfreygap.settings.Fault;

/**
 * An error response of the administration API.
 *
 * <p>Thread safety: immutable.
 */
final class ApiException extends WebApplicationException {

  private static final long serialVersionUID = 1L;
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final ObjectMapper MAPPER = Codec.MAPPER;

  private ApiException(Response response) {
    super(response);
  }

  /** The body of an error. */
  record Body(Error error) {}

  /** The error; fields that do not apply are omitted. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Error(
      String code,
      String message,
      List<Fault> faults,
      Long currentRevision,
      String changedBy,
      Long revision) {}

  static ApiException of(int status, String code, String message) {
    return new ApiException(
        response(status, new Error(code, message, List.of(), null, null, null)).build());
  }

  static ApiException of(ChangeResult result) {
    boolean conflict = result.code() == ChangeResult.Code.CONFLICT;
    Error error =
        new Error(
            code(result.code()),
            result.message(),
            result.faults() == null ? List.of() : result.faults(),
            conflict ? result.currentRevision() : null,
            conflict ? result.changedBy() : null,
            null);
    return new ApiException(response(result.code().status(), error).build());
  }

  static ApiException invalid(List<Fault> faults) {
    return of(ChangeResult.invalid(faults));
  }

  /**
   * Returns the error for a change whose outcome is unknown; a resend with the same operation id
   * returns the outcome.
   */
  static ApiException outcomeUnknown(String message) {
    String text = message + "; resend with the same operation id to learn the outcome";
    return new ApiException(
        response(503, new Error("outcomeUnknown", text, List.of(), null, null, null))
            .header("Retry-After", RETRY_AFTER_SECONDS)
            .build());
  }

  static ApiException noLeader() {
    return new ApiException(
        response(
                503,
                new Error("noLeader", "no control leader is known", List.of(), null, null, null))
            .header("Retry-After", RETRY_AFTER_SECONDS)
            .build());
  }

  static ApiException redirect(java.net.URI leader) {
    return new ApiException(Response.status(307).location(leader).build());
  }

  private static Response.ResponseBuilder response(int status, Error error) {
    try {
      return Response.status(status)
          .type(MediaType.APPLICATION_JSON_TYPE)
          .entity(MAPPER.writeValueAsString(new Body(error)));
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the error response", e);
    }
  }

  private static String code(ChangeResult.Code code) {
    String[] words = code.name().toLowerCase(java.util.Locale.ROOT).split("_");
    StringBuilder text = new StringBuilder(words[0]);
    for (int i = 1; i < words.length; i++) {
      text.append(Character.toUpperCase(words[i].charAt(0))).append(words[i].substring(1));
    }
    return text.toString();
  }
}

package org.comfreygap.control;

import com.google.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.UriInfo;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.protocol.generated.NotLeader;

/**
 * Shows requests and parts of prompts that are banned because endpoints crashed with them, and
 * lifts bans of parts.
 *
 * <p>Thread safety: any thread may call.
 *
 * @since 0.4
 */
@Path("/quarantine")
@Produces(MediaType.APPLICATION_JSON)
public final class QuarantineResource {

  private static final String ROOT = "/";

  private final ApiSupport api;
  private final ControlState state;
  private final LedgerController ledger;

  @Inject
  QuarantineResource(ApiSupport api, ControlState state, LedgerController ledger) {
    this.api = api;
    this.state = state;
    this.ledger = ledger;
  }

  /** Parts of prompts of which no request may hold all. */
  record BannedParts(List<String> parts, long startsInMillis, long remainingMillis) {}

  /** A part that is suspected of crashes, with the responses that began on it nevertheless. */
  record SuspectedPart(String part, int crashes, int requests, int began) {}

  /**
   * The quarantine.
   *
   * @param fingerprints banned requests with the milliseconds that remain
   */
  record QuarantineResponse(
      Map<String, Long> fingerprints, List<BannedParts> bans, List<SuspectedPart> suspects) {}

  /** Result of lifting the ban of a part. */
  record LiftResponse(String part, boolean suspected) {}

  /** Returns what is banned or suspected. */
  @GET
  public QuarantineResponse quarantine(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri) {
    api.authenticateAtLeader(authorization, uri);
    ControlState.SuspectedParts parts = state.suspectedParts();
    List<BannedParts> bans =
        parts.bans().stream()
            .map(
                ban ->
                    new BannedParts(
                        ban.parts(),
                        millisLeft(ban.fromNanos(), parts.nowNanos()),
                        millisLeft(ban.untilNanos(), parts.nowNanos())))
            .filter(ban -> ban.remainingMillis() > 0)
            .toList();
    List<SuspectedPart> suspects =
        parts.evidence().stream()
            .filter(one -> one.crashes().size() >= PartQuarantine.CRASHES_TO_WATCH)
            .map(
                one ->
                    new SuspectedPart(
                        one.part(),
                        one.crashes().size(),
                        one.requests().size(),
                        one.earlier() + one.began()))
            .toList();
    return new QuarantineResponse(state.quarantined(), bans, suspects);
  }

  /** Ends the ban of a part and forgets its crashes. */
  @DELETE
  @Path("parts/{part}")
  public LiftResponse lift(
      @PathParam("part") String part,
      @HeaderParam("Authorization") String authorization,
      @Context UriInfo uri) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    api.operators().requireAccess(operator, ROOT);
    try {
      return new LiftResponse(part, ledger.liftPart(part, operator.name()));
    } catch (NotLeader e) {
      throw ApiException.noLeader();
    }
  }

  private static long millisLeft(long untilNanos, long nowNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos));
  }
}

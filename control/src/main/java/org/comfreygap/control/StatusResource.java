package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.UriInfo;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.FieldRule;

/**
 * Membership of the replicated log and the status of all processes.
 *
 * <p>Thread safety: any thread may call.
 *
 * @since 0.1
 */
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class StatusResource {

  private static final Duration MEMBER_CHANGE_TIMEOUT = Duration.ofSeconds(25);
  private static final String ROOT = "/";

  private final ApiSupport api;
  private final ReplicatedLog log;
  private final ControlState state;
  private final MembershipController membership;
  private final DutyMetrics dutyMetrics;
  private final EventLog events;
  private final ScaleController scale;

  @Inject
  StatusResource(
      ApiSupport api,
      ReplicatedLog log,
      ControlState state,
      MembershipController membership,
      DutyMetrics dutyMetrics,
      EventLog events,
      ScaleController scale) {
    this.scale = scale;
    this.api = api;
    this.dutyMetrics = dutyMetrics;
    this.log = log;
    this.state = state;
    this.membership = membership;
    this.events = events;
  }

  /** A control instance. */
  record Replica(String replicaId, String address, String adminAddress, String role) {}

  /** A process. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Process(
      String processId,
      String kind,
      String zone,
      String state,
      long revisionInForce,
      String address,
      String adminAddress,
      String endpoint) {}

  /**
   * Duties of one holder; windows are absent before the first.
   *
   * @param lastReplies replies to the leader's last calls, by duty
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Duties(
      String holder,
      long fencing,
      Long closedWindow,
      Long acceptedWindow,
      int backlog,
      Map<Duty, String> lastReplies) {}

  /** Response of {@code /status}; the duties are absent where none is asked for. */
  record StatusResponse(
      String leader,
      long term,
      long revision,
      List<Replica> replicas,
      List<Process> processes,
      @JsonInclude(JsonInclude.Include.NON_NULL) Duties duties,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ScaleController.Numbers> endpointNumbers) {}

  /** Response of {@code /members}. */
  record MembersResponse(List<Replica> members) {}

  /** Returns the leader, the replicas and all processes. */
  @GET
  @Path("status")
  public StatusResponse status(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri) {
    api.operators().authenticate(authorization);
    LeaderTerm term = api.requireLeader(uri);
    List<Process> processes =
        membership.processes(term).stream()
            .map(
                s ->
                    process(
                        s.identity().description(),
                        OperationsResource.lowerCaseName(s.state()),
                        s.revisionInForce()))
            .sorted(Comparator.comparing(Process::processId))
            .toList();
    String leader = log.leader().map(ReplicaMember::getReplicaId).orElse(null);
    Duties held = state.readDuties(this::duties).orElse(null);
    return new StatusResponse(
        leader,
        log.term(),
        state.revision(),
        replicas(),
        processes,
        held,
        scale.numbers(term, System.nanoTime()));
  }

  /** Returns the members of the replicated log. */
  @GET
  @Path("members")
  public MembersResponse members(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri) {
    api.authenticateAtLeader(authorization, uri);
    return new MembersResponse(replicas());
  }

  /** Adds a replica, first as a learner, then as a voter. */
  @POST
  @Path("members")
  public MembersResponse add(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri, String text) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    api.operators().requireAccess(operator, ROOT);
    JsonNode body = ApiSupport.parseBody(text);
    String replicaId = body.path("replicaId").asText("");
    String address = body.path("address").asText("");
    if (!FieldRule.NAME.matcher(replicaId).matches()
        || !FieldRule.IP_PORT.matcher(address).matches()) {
      throw ApiException.of(
          400,
          "badRequest",
          "given replicaId "
              + replicaId
              + " and address "
              + address
              + ", expected a name and ip:port");
    }
    boolean alreadyVoter =
        log.members().stream()
            .filter(ReplicaMember::isVoter)
            .anyMatch(m -> m.getReplicaId().equals(replicaId) && m.getAddress().equals(address));
    if (alreadyVoter) {
      // The response to an earlier call was lost, or the caller timed out.
      return new MembersResponse(replicas());
    }
    ReplicaMember member = new ReplicaMember(replicaId, address, false);
    if (body.hasNonNull("adminAddress")) {
      member.setAdminAddress(body.path("adminAddress").asText());
    }
    awaitMemberChange(log.addMember(member), operator, "add", replicaId);
    return new MembersResponse(replicas());
  }

  /** Removes a replica. */
  @DELETE
  @Path("members/{replicaId}")
  public MembersResponse remove(
      @PathParam("replicaId") String replicaId,
      @HeaderParam("Authorization") String authorization,
      @Context UriInfo uri) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    api.operators().requireAccess(operator, ROOT);
    boolean known = log.members().stream().anyMatch(m -> m.getReplicaId().equals(replicaId));
    if (!known) {
      throw ApiException.of(
          404, "notFound", "given " + replicaId + ", expected the id of a member");
    }
    awaitMemberChange(log.removeMember(replicaId), operator, "remove", replicaId);
    return new MembersResponse(replicas());
  }

  private void awaitMemberChange(
      CompletableFuture<Void> future, Operator operator, String kind, String replicaId) {
    try {
      future.get(MEMBER_CHANGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw ApiException.of(503, "memberChangeFailed", String.valueOf(e.getCause().getMessage()));
    } catch (TimeoutException e) {
      throw ApiException.of(
          503,
          "memberChangeOpen",
          "the membership change is still in progress; read /members for its outcome");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw ApiException.noLeader();
    }
    events.record(
        ControlEvent.MEMBER_CHANGED,
        Field.of("operator", operator.name()),
        Field.of("kind", kind),
        Field.of("replica", replicaId));
  }

  private List<Replica> replicas() {
    String leader = log.leader().map(ReplicaMember::getReplicaId).orElse("");
    return log.members().stream()
        .map(
            member -> {
              String votingRole = member.isVoter() ? "follower" : "learner";
              String role = member.getReplicaId().equals(leader) ? "leader" : votingRole;
              return new Replica(
                  member.getReplicaId(), member.getAddress(), member.getAdminAddress(), role);
            })
        .toList();
  }

  private Optional<Duties> duties(DutyState duties) {
    DutyState.Progress progress = duties.progress();
    return duties
        .holding()
        .map(
            holding ->
                new Duties(
                    holding.holder(),
                    holding.fencing(),
                    windowOrNull(progress.closedWindow()),
                    windowOrNull(progress.acceptedWindow()),
                    progress.backlog(),
                    dutyMetrics.lastReplies()));
  }

  private static Long windowOrNull(long window) {
    return window == DutyState.NO_WINDOW ? null : window;
  }

  private static Process process(ProcessIdentity identity, String processState, long revision) {
    return new Process(
        identity.getProcessId(),
        OperationsResource.lowerCaseName(identity.getKind()),
        identity.getZone(),
        processState,
        revision,
        identity.getAddress(),
        identity.getAdminAddress(),
        identity.getEndpoint());
  }
}

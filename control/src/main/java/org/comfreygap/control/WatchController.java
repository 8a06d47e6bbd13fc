package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.PartBan;
import org.comfreygap.protocol.generated.SuspectParts;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;

/**
 * Serves the settings and the quarantine list to watching processes, at any replica.
 *
 * <p>Invariant: no reply has a lower revision than the watcher holds. A replica that knows no
 * leader rejects watches, since it may miss changes for long. Thread safety: any thread may call.
 */
@Singleton
final class WatchController {

  private static final int MAX_WAIT_MILLIS = 30_000;
  private static final int MAX_WATCHERS = 4_096;

  private final ControlState state;
  private final ReplicatedLog log;
  private final MembershipController membership;
  // Quarantine version last sent to each process; a watch returns at once when it is outdated.
  private final Map<String, Long> sentQuarantineVersions =
      Collections.synchronizedMap(
          new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
              return size() > MAX_WATCHERS;
            }
          });

  @Inject
  WatchController(ControlState state, ReplicatedLog log, MembershipController membership) {
    this.state = state;
    this.log = log;
    this.membership = membership;
  }

  /**
   * Changes after a revision.
   *
   * @param snapshot true when the changes are the whole tree
   */
  record Update(long revision, boolean snapshot, List<Change> changes) {}

  WatchReply watch(WatchRequest request) throws InvalidCall {
    RequestValidation.requireName("processId", request.getProcessId());
    membership.recordRevisionInForce(request.getProcessId(), request.getAfterRevision());
    long sent = sentQuarantineVersions.getOrDefault(request.getProcessId(), 0L);
    await(request.getAfterRevision(), sent, request.getWaitMillis());
    if (!isLeaderKnown()) {
      throw new InvalidCall("no leader is known to this instance; watch another instance");
    }
    long quarantineVersion = state.quarantineVersion();
    // Read before the list below: a reader drops what a newer version no longer lists.
    SuspectParts parts = suspectParts(state.suspectedParts());
    Map<String, Long> quarantined = state.quarantined();
    Update update = update(request.getAfterRevision());
    if (update.revision() < request.getAfterRevision()) {
      throw new InvalidCall(
          "given revision "
              + request.getAfterRevision()
              + ", this instance is at "
              + update.revision()
              + "; watch another instance");
    }
    WatchReply reply = new WatchReply(update.revision(), update.snapshot(), update.changes());
    // Sent with every reply, since a reply can be lost; the list is short.
    reply.setQuarantined(quarantined);
    reply.setParts(parts);
    sentQuarantineVersions.put(request.getProcessId(), quarantineVersion);
    return reply;
  }

  /** Returns true while a leader is known; without one this instance may miss changes for long. */
  boolean isLeaderKnown() {
    return log.leader().isPresent();
  }

  /**
   * Returns the changes after {@code revision}, or the whole tree when the history does not reach
   * back to it.
   */
  Update update(long revision) {
    return state.readSettings(
        store -> {
          long current = store.revision();
          Optional<List<ChangeHistory.Change>> changes =
              revision <= 0 ? Optional.empty() : store.history().after(revision);
          if (current <= revision) {
            return new Update(current, false, List.of());
          }
          return changes
              .map(found -> new Update(current, false, toThrift(found)))
              .orElseGet(() -> new Update(current, true, snapshot(store)));
        });
  }

  /** Waits for a change of the settings or the quarantine list, at most {@code waitMillis}. */
  void await(long afterRevision, long knownQuarantine, int waitMillis) {
    int bounded = Math.max(0, Math.min(MAX_WAIT_MILLIS, waitMillis));
    try {
      state.awaitChange(afterRevision, knownQuarantine, TimeUnit.MILLISECONDS.toNanos(bounded));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static SuspectParts suspectParts(ControlState.SuspectedParts known) {
    List<PartBan> bans = new ArrayList<>();
    for (PartQuarantine.Ban ban : known.bans()) {
      long remaining = millis(ban.untilNanos() - known.nowNanos());
      if (remaining > 0) {
        long startsIn = Math.max(0, millis(ban.fromNanos() - known.nowNanos()));
        bans.add(new PartBan(ban.parts(), startsIn, remaining));
      }
    }
    return new SuspectParts(known.version(), bans, known.watched());
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private static List<Change> toThrift(List<ChangeHistory.Change> changes) {
    List<Change> converted = new ArrayList<>(changes.size());
    for (ChangeHistory.Change change : changes) {
      ChangeKind kind = change.document() == null ? ChangeKind.DELETE : ChangeKind.PUT;
      Change one = new Change(change.path(), kind, change.revision());
      one.setDocument(change.document());
      converted.add(one);
    }
    return converted;
  }

  private static List<Change> snapshot(SettingsStore store) {
    List<Change> changes = new ArrayList<>(store.tree().size());
    store
        .tree()
        .subtree("/")
        .forEach(
            (path, entry) -> {
              Change change = new Change(path, ChangeKind.PUT, entry.revision());
              change.setDocument(entry.document());
              changes.add(change);
            });
    return changes;
  }
}

package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;
import org.comfreygap.decisions.AdapterResidency.Command;
import org.comfreygap.decisions.AdapterResidency.Kind;
import org.comfreygap.decisions.AdapterResidency.Result;
import org.comfreygap.decisions.FairQueue;
import org.comfreygap.protocol.generated.Priority;
import org.comfreygap.protocol.generated.RefusalReason;

/**
 * Decides, under the core's lock, which adapter is loaded next and which load and unload commands
 * that requires.
 *
 * <p>Thread safety: any thread may call; only the loader begins commands.
 */
@Singleton
final class ResidencyController {

  /** How long an attempt waits for a free slot before an adapter in use is drained. */
  static final Duration DRAIN_DELAY = Duration.ofMillis(500);

  private final EndpointCore core;
  private final EndpointLease lease;
  private final AttemptController attempts;
  private String bootAtBegin = "";

  @Inject
  ResidencyController(EndpointCore core, EndpointLease lease, AttemptController attempts) {
    this.core = core;
    this.lease = lease;
    this.attempts = attempts;
  }

  /** An adapter to load. */
  record LoadPlan(String adapter, String source, String customer, Priority priority) {}

  /** Returns the adapter to load next, or empty when none is requested or no slot can be freed. */
  Optional<LoadPlan> nextLoad() {
    return core.computeLocked(
        now -> {
          if (core.queue.size() == 0 || !lease.valid(now) || core.residency.stateUnknown()) {
            return Optional.empty();
          }
          boolean slotNeeded = false;
          for (FairQueue.Item<Attempt> head : core.queue.waitingForLoad()) {
            if (core.residency.canBegin(head.adapter(), this::hasQueued, now)) {
              return Optional.of(plan(head.payload()));
            }
            slotNeeded |= !core.residency.holds(head.adapter());
            if (slotNeeded && now - head.enqueuedAtNanos() > DRAIN_DELAY.toNanos()) {
              core.residency.drainOne(now);
            }
          }
          if (!slotNeeded) {
            core.residency.stopDraining();
          }
          core.syncReadyAdapters(now);
          attempts.dispatchQueuedLocked(now);
          return Optional.empty();
        });
  }

  /** Returns true while attempts wait for {@code adapter} and it is not usable. */
  boolean stillRequested(String adapter) {
    return core.computeLocked(
        now -> core.queue.queuedFor(adapter) > 0 && !core.residency.usable(adapter, now));
  }

  /**
   * Begins the next command needed to load {@code adapter}, or returns empty when none may begin
   * now.
   */
  Optional<Command> beginCommand(String adapter) {
    return core.computeLocked(
        now -> {
          if (!lease.valid(now)) {
            return Optional.empty();
          }
          bootAtBegin = core.ramp.bootId();
          Optional<Command> command = core.residency.begin(adapter, this::hasQueued, now);
          if (command.isEmpty()) {
            // The permit is already held, so a slot is drained for this adapter.
            core.residency.drainOne(now);
          }
          core.syncReadyAdapters(now);
          return command;
        });
  }

  /** Ends the command in progress. */
  void commandEnded(Command command, Result result, String bootId) {
    core.runLocked(
        now -> {
          core.recordReply(bootId, now, now);
          boolean otherBoot = !core.ramp.bootId().equals(bootAtBegin);
          // An acknowledgement from a boot that has since ended does not apply to the new one.
          Result effectiveResult = otherBoot ? Result.UNKNOWN : result;
          core.residency.ended(effectiveResult, now);
          if (effectiveResult == Result.DONE && command.kind() == Kind.LOAD) {
            core.queue.waitingForLoad().stream()
                .filter(item -> item.adapter().equals(command.adapter()))
                .findFirst()
                .ifPresent(item -> core.queue.loadedFor(item.customer()));
          } else if (effectiveResult != Result.DONE) {
            core.wakeMonitor();
          }
          core.syncReadyAdapters(now);
          attempts.dispatchQueuedLocked(now);
        });
  }

  /** Refuses the attempts that wait for {@code adapter}, so that gateways use another endpoint. */
  void refuseAfterFailedLoad(String adapter) {
    core.runLocked(
        now -> {
          for (FairQueue.Item<Attempt> item : new ArrayList<>(core.queue.queued())) {
            if (item.adapter().equals(adapter)) {
              attempts.refuseLocked(item.payload(), RefusalReason.LOAD_FAILED, "", now);
            }
          }
        });
  }

  private boolean hasQueued(String adapter) {
    return core.queue.queuedFor(adapter) > 0;
  }

  private static LoadPlan plan(Attempt attempt) {
    return new LoadPlan(
        attempt.adapter,
        attempt.request.isSetSource() ? attempt.request.getSource() : "",
        attempt.request.getCustomer(),
        attempt.request.getPriority());
  }
}

package org.comfreygap.sidecar;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.comfreygap.decisions.AdapterResidency;
import org.comfreygap.decisions.AttemptRegistry;
import org.comfreygap.decisions.ColdStartRamp;
import org.comfreygap.decisions.FairQueue;
import org.comfreygap.settings.Priority;

/** Measures the CPU time of the admission policies for one attempt, from its offer to its end. */
public final class AdmissionCost {

  private static final int ATTEMPTS = 400_000;
  private static final int BACKLOG = 256;

  private AdmissionCost() {}

  /** Prints nanoseconds per attempt in several rounds; the later rounds run warmed up. */
  public static void main(String[] args) {
    for (int round = 0; round < 8; round++) {
      System.out.printf("round %d admission_ns %d%n", round, round(round));
    }
  }

  private static long round(int seed) {
    Random random = new Random(seed);
    FairQueue<Integer> queue = new FairQueue<>(512, 4_000_000, Duration.ofSeconds(3));
    AttemptRegistry<Integer> registry = new AttemptRegistry<>(32_768, Duration.ofMillis(10));
    AdapterResidency residency = new AdapterResidency(32);
    ColdStartRamp ramp = new ColdStartRamp(64, 4, Duration.ofSeconds(1));
    Set<String> resident = new TreeSet<>();
    String[] adapters = new String[64];
    for (int i = 0; i < adapters.length; i++) {
      adapters[i] = "team/adapter" + i + "@v1";
      if (i < 32) {
        resident.add(adapters[i]);
        queue.ready(adapters[i], true);
      }
    }
    residency.stateRead(residency.readToken(), resident, false, 0);
    String[] ids = new String[ATTEMPTS];
    for (int i = 0; i < ATTEMPTS; i++) {
      ids[i] = "attempt-" + seed + "-" + i;
    }
    String[] customers = {"a/1", "a/2", "b/1", "b/2", "c/1"};
    long start = System.nanoTime();
    for (int i = 0; i < ATTEMPTS; i++) {
      long now = System.nanoTime();
      String adapter = adapters[random.nextInt(32)];
      registry.offer(ids[i], i, now);
      residency.requested(adapter, now);
      queue.offer(
          new FairQueue.Item<>(
              ids[i],
              customers[random.nextInt(5)],
              Priority.values()[random.nextInt(3)],
              100 + random.nextInt(900),
              adapter,
              false,
              i),
          now);
      if (queue.size() > BACKLOG) {
        ramp.observed("b", 60_000, now, now);
        Optional<FairQueue.Item<Integer>> next = queue.poll(now, ramp.limit(now), p -> true);
        if (next.isPresent() && ramp.tryStart(now)) {
          String id = next.get().id();
          residency.tryPin(id, next.get().adapter(), now);
          residency.unpin(id);
          ramp.finished();
          queue.finished(next.get().customer(), now);
          registry.ended(id, now);
        }
      }
    }
    return (System.nanoTime() - start) / ATTEMPTS;
  }
}

package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailable;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Tells control of crashes and of load permits no longer needed, without holding up the duty that
 * found out.
 *
 * <p>Invariant: a crash report is sent until control has taken it; a permit release that cannot be
 * sent is dropped, since the permit ends by itself. Thread safety: any thread may add; one duty
 * sends.
 */
@Singleton
final class ControlReports {

  private static final int CAPACITY = 256;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final String endpoint;
  private final String processId;
  private final ControlClient control;
  private final EventLog events;
  private final BlockingQueue<Message> messages = new ArrayBlockingQueue<>(CAPACITY);

  @Inject
  ControlReports(SidecarSettings settings, ControlClient control, EventLog events) {
    this.endpoint = settings.endpoint();
    this.processId = settings.processId();
    this.control = control;
    this.events = events;
  }

  /** Reports the requests that were in flight when the boot {@code bootId} ended. */
  void crashed(String bootId, List<String> fingerprints) {
    CrashReport report = new CrashReport(endpoint, bootId, fingerprints, processId);
    messages.offer(
        () -> {
          control.callLeader(CALL_TIMEOUT, client -> client.reportCrash(report));
          events.record(
              SidecarEvent.CRASH_REPORTED,
              Field.of("boot", bootId),
              Field.of("requests", fingerprints.size()));
          return true;
        });
  }

  /** Gives a load permit back. */
  void release(String permitId) {
    messages.offer(
        () -> {
          try {
            control.callLeader(
                CALL_TIMEOUT,
                client -> {
                  client.releaseLoadPermit(permitId);
                  return permitId;
                });
          } catch (ControlUnavailable e) {
            return false;
          }
          return true;
        });
  }

  /** Sends the next message, again and again until control has taken it. */
  void step() throws InterruptedException {
    Message message = messages.take();
    for (int i = 0; i < 30; i++) {
      try {
        message.send();
        return;
      } catch (ControlUnavailable e) {
        Thread.sleep(1_000);
      }
    }
  }

  /** A message that may throw to be sent again. */
  private interface Message {

    boolean send() throws ControlUnavailable;
  }
}

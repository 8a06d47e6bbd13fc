package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailable;
import org.comfreygap.runtime.DutyThread;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Opens and closes entries of the request ledger at control.
 *
 * <p>An entry that cannot be closed at once is closed by a thread of its own, so that no caller
 * waits for it; one that is never closed becomes unknown when control no longer hears of this
 * process. Thread safety: any thread may call.
 */
@Singleton
final class LedgerController implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
  private static final int MAX_UNFINISHED = 1_024;

  private final ControlClient control;
  private final EventLog events;
  private final BlockingQueue<FinishRequest> unfinished = new ArrayBlockingQueue<>(MAX_UNFINISHED);
  private DutyThread finishThread;

  @Inject
  LedgerController(ControlClient control, EventLog events) {
    this.control = control;
    this.events = events;
  }

  /** Starts to close entries that could not be closed at once. */
  void start() {
    finishThread = DutyThread.continuous("ledger-close", this::finishNext);
  }

  /**
   * Opens an entry.
   *
   * @throws ControlUnavailable when control does not answer; the entry may be open all the same
   */
  BeginReply begin(BeginRequest request) throws ControlUnavailable {
    return control.callLeader(TIMEOUT, client -> client.beginRequest(request));
  }

  /** Closes an entry before the caller gets its answer, or soon after when control is away. */
  void finish(FinishRequest request) {
    try {
      send(request);
    } catch (ControlUnavailable e) {
      recordFailure(request, e.getMessage());
      finishLater(request);
    }
  }

  /** Closes an entry without a wait. */
  void finishLater(FinishRequest request) {
    if (!unfinished.offer(request)) {
      recordFailure(request, "too many entries wait to be closed");
    }
  }

  @Override
  public void close() {
    if (finishThread != null) {
      finishThread.close();
    }
  }

  private void finishNext() throws InterruptedException {
    FinishRequest request = unfinished.take();
    try {
      send(request);
    } catch (ControlUnavailable e) {
      finishLater(request);
      TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE.toMillis());
    }
  }

  private void send(FinishRequest request) throws ControlUnavailable {
    control.callLeader(
        TIMEOUT,
        client -> {
          client.finishRequest(request);
          return request;
        });
  }

  private void recordFailure(FinishRequest request, String cause) {
    events.record(
        GatewayEvent.LEDGER_UNAVAILABLE,
        Field.of("request", request.getRequestId()),
        Field.of("cause", cause));
  }
}

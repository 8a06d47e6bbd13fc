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
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.RepeatingTask;

/**
 * Opens and finishes entries of the request ledger at control.
 *
 * <p>An entry that cannot be finished immediately is finished by a background thread, so that no
 * caller waits for it. The outcome of an entry that is never finished becomes unknown when control
 * loses contact with this process. Thread safety: thread-safe.
 */
@Singleton
final class LedgerController implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
  private static final int MAX_UNFINISHED = 1_024;

  private final ControlClient control;
  private final EventLog events;
  private final BlockingQueue<FinishRequest> unfinished = new ArrayBlockingQueue<>(MAX_UNFINISHED);
  private RepeatingTask finishThread;

  @Inject
  LedgerController(ControlClient control, EventLog events) {
    this.control = control;
    this.events = events;
  }

  /** Starts the thread that finishes entries which could not be finished immediately. */
  void start() {
    finishThread = RepeatingTask.continuous("ledger-close", this::finishNext);
  }

  /**
   * Opens an entry.
   *
   * @throws ControlUnavailableException when control does not reply; the entry may still have been
   *     opened
   */
  BeginReply begin(BeginRequest request) throws ControlUnavailableException {
    return control.callLeader(TIMEOUT, client -> client.beginRequest(request));
  }

  /** Finishes an entry before its response is sent, or queues it when control is unavailable. */
  void finish(FinishRequest request) {
    try {
      send(request);
    } catch (ControlUnavailableException e) {
      recordFailure(request, e.getMessage());
      finishLater(request);
    }
  }

  /** Queues an entry to be finished by the background thread. */
  void finishLater(FinishRequest request) {
    if (!unfinished.offer(request)) {
      recordFailure(request, "the queue of unfinished ledger entries is full");
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
    } catch (ControlUnavailableException e) {
      finishLater(request);
      TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE.toMillis());
    }
  }

  private void send(FinishRequest request) throws ControlUnavailableException {
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

package org.comfreygap.consensus;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A bounded ring buffer with a single consumer thread.
 *
 * <p>Invariant: items are handled in the order of publication, by one thread; no item is handled
 * after a failure. Thread safety: any thread may publish and close.
 *
 * @param <T> type of the items
 */
final class RingWorker<T> implements AutoCloseable {

  /** Handles items. Thread safety: called by one thread. */
  interface Handler<T> {

    /** Handles an item; {@code endOfBatch} is true when no further item is queued. */
    void handle(T item, boolean endOfBatch) throws Exception;

    /** Called when no item has been published for the idle timeout. */
    default void onIdle() throws Exception {}

    /** Called on the worker thread when it ends. */
    default void onStopped() {}
  }

  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

  private final Disruptor<Slot<T>> disruptor;
  private final RingBuffer<Slot<T>> ring;
  private final Consumer<Exception> failureHandler;
  private final Handler<T> handler;
  private volatile boolean stopped;
  private volatile Thread thread;

  /** Creates the ring; {@link #start} starts its thread. */
  RingWorker(
      String name,
      int size,
      Duration idleTimeout,
      Handler<T> handler,
      Consumer<Exception> failureHandler) {
    this.handler = handler;
    this.failureHandler = failureHandler;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            size,
            task -> newThread(name, task),
            ProducerType.MULTI,
            new TimeoutBlockingWaitStrategy(idleTimeout.toNanos(), TimeUnit.NANOSECONDS));
    disruptor.setDefaultExceptionHandler(new DisruptorExceptionHandler());
    disruptor.handleEventsWith(new DisruptorEventHandler());
    this.ring = disruptor.getRingBuffer();
  }

  RingWorker<T> start() {
    disruptor.start();
    return this;
  }

  /** Publishes an item, waiting while the ring is full; false when the worker has stopped. */
  boolean publish(T item) {
    while (!stopped) {
      if (tryPublish(item)) {
        return true;
      }
      Thread.onSpinWait();
      Thread.yield();
    }
    return false;
  }

  /** Publishes an item; false when the ring is full or the worker has stopped. */
  boolean tryPublish(T item) {
    return !stopped && ring.tryPublishEvent((slot, sequence) -> slot.item = item);
  }

  /** Returns true once no further items will be handled. */
  boolean stopped() {
    return stopped;
  }

  /** Stops after the current item without waiting for it. */
  void stop() {
    stopped = true;
    disruptor.halt();
  }

  /** Stops and waits up to 5 s for the current item. */
  @Override
  public void close() {
    stop();
    Thread running = thread;
    if (running == null || running == Thread.currentThread()) {
      return;
    }
    try {
      running.join(JOIN_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Thread newThread(String name, Runnable task) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    thread = created;
    return created;
  }

  private void fail(Exception failure) {
    if (!stopped) {
      stop();
      failureHandler.accept(failure);
    }
  }

  private static final class Slot<T> {

    private T item;
  }

  private final class DisruptorEventHandler implements EventHandler<Slot<T>> {

    @Override
    public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) throws Exception {
      T item = slot.item;
      slot.item = null;
      if (!stopped) {
        handler.handle(item, endOfBatch);
      }
    }

    @Override
    public void onTimeout(long sequence) throws Exception {
      if (!stopped) {
        handler.onIdle();
      }
    }

    @Override
    public void onShutdown() {
      handler.onStopped();
    }
  }

  private final class DisruptorExceptionHandler implements ExceptionHandler<Slot<T>> {

    @Override
    public void handleEventException(Throwable failure, long sequence, Slot<T> slot) {
      fail(asException(failure));
    }

    @Override
    public void handleOnStartException(Throwable failure) {
      fail(asException(failure));
    }

    @Override
    public void handleOnShutdownException(Throwable failure) {
      fail(asException(failure));
    }

    private Exception asException(Throwable failure) {
      return failure instanceof Exception exception
          ? exception
          : new IllegalStateException("a worker thread failed", failure);
    }
  }
}

package org.comfreygap.runtime;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Records numbered events in the log and the timeline of this process.
 *
 * <pre>{@code
 * events.record(GatewayEvent.REQUEST_REFUSED, Field.of("request", id), Field.of("status", 429));
 * }</pre>
 *
 * <p>A log line has the event's name as its message, and the process, the hybrid logical clock
 * value, the event's number and its fields as key-value pairs.
 *
 * <p>Invariant: recording never blocks a request; when the ring buffer is full the event is dropped
 * and counted, and the next line states the number of dropped events. Thread safety: any thread may
 * record; one thread writes.
 *
 * @since 0.1
 */
public final class EventLog implements AutoCloseable {

  private static final int RING_SIZE = 4_096;
  private static final long CLOSE_TIMEOUT_SECONDS = 2;
  private static final Logger LOG = LoggerFactory.getLogger("comfreygap.events");

  private final String process;
  private final HybridClock clock;
  private final Timeline timeline;
  private final Disruptor<Slot> disruptor;
  private final RingBuffer<Slot> ring;
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong leftOut = new AtomicLong();
  private final Map<Event, LogRateLimiter> rateLimiters = new ConcurrentHashMap<>();
  // Accessed only by the writer thread.
  private long droppedWritten;

  /** Starts the writer thread. */
  public EventLog(String process, HybridClock clock, Timeline timeline) {
    this.process = process;
    this.clock = clock;
    this.timeline = timeline;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            RING_SIZE,
            EventLog::writerThread,
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    Writer writer = new Writer();
    disruptor.handleEventsWith(writer);
    this.ring = disruptor.start();
    // The Disruptor's shutdown does not wait for a handler that has not started; without this wait,
    // events recorded just before an immediate stop are lost.
    writer.awaitStart();
  }

  /** Records an event with the current time. */
  public void record(Event event, Field... fields) {
    long hlc = clock.next();
    if (!ring.tryPublishEvent((slot, sequence) -> slot.set(event, hlc, fields))) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Records an event of ordinary traffic, whose rate grows with the load. Events of one kind beyond
   * {@value LogRateLimiter#LINES_PER_SECOND} per second are left out; the next recorded one states
   * their number in the field {@code leftOut}. Don't use this method for refusals, failures,
   * retries or state changes, which must always be recorded.
   *
   * @param fields evaluated only when the event is recorded
   */
  public void recordRateLimited(Event event, long nowNanos, Supplier<List<Field>> fields) {
    OptionalLong before =
        rateLimiters.computeIfAbsent(event, kind -> new LogRateLimiter()).tryAcquire(nowNanos);
    if (before.isEmpty()) {
      leftOut.incrementAndGet();
      return;
    }
    List<Field> all = new ArrayList<>(fields.get());
    if (before.getAsLong() > 0) {
      all.add(Field.of("leftOut", before.getAsLong()));
    }
    record(event, all.toArray(Field[]::new));
  }

  /** Returns how many events were left out by the rate limit. */
  public long leftOut() {
    return leftOut.get();
  }

  /** Returns how many events were dropped because the ring buffer was full. */
  public long dropped() {
    return dropped.get();
  }

  /** Returns the timeline to which events are added. */
  public Timeline timeline() {
    return timeline;
  }

  /** Returns the clock that timestamps the events. */
  public HybridClock clock() {
    return clock;
  }

  /** Writes the recorded events for at most 2 s and stops the writer. */
  @Override
  public void close() {
    try {
      disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      disruptor.halt();
    }
  }

  private void write(Slot slot) {
    Event event = slot.event;
    LoggingEventBuilder line =
        LOG.atLevel(event.level())
            .addKeyValue("process", process)
            .addKeyValue("hlc", slot.hlc)
            .addKeyValue("number", event.number());
    Map<String, String> fields = new LinkedHashMap<>();
    for (Field field : slot.fields) {
      fields.put(field.name(), field.value());
      line = line.addKeyValue(field.name(), field.value());
    }
    long lost = dropped.get();
    if (lost != droppedWritten) {
      line = line.addKeyValue("dropped", lost - droppedWritten);
      droppedWritten = lost;
    }
    timeline.add(new Timeline.Entry(process, slot.hlc, event.number(), event.name(), fields));
    line.log(event.name());
    slot.clear();
  }

  private static Thread writerThread(Runnable task) {
    Thread thread = new Thread(task, "event-writer");
    thread.setDaemon(true);
    return thread;
  }

  private final class Writer implements EventHandler<Slot> {

    private final CountDownLatch started = new CountDownLatch(1);

    @Override
    public void onStart() {
      started.countDown();
    }

    @Override
    public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
      write(slot);
    }

    void awaitStart() {
      try {
        started.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static final class Slot {

    private Event event;
    private long hlc;
    private Field[] fields;

    void set(Event newEvent, long newHlc, Field[] newFields) {
      event = newEvent;
      hlc = newHlc;
      fields = newFields;
    }

    void clear() {
      event = null;
      fields = null;
    }
  }
}

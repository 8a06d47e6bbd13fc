package org.comfreygap.sidecar;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.FrameData;
import org.comfreygap.protocol.generated.FrameEnd;
import org.comfreygap.protocol.generated.FrameFailure;
import org.comfreygap.protocol.generated.FrameHead;
import org.comfreygap.protocol.generated.FrameRefusal;

/**
 * Bounded buffer for the response of one attempt, read by one sink at a time.
 *
 * <p>Bytes already delivered to a sink are kept up to a limit, so that a gateway whose connection
 * stalled can reattach at an earlier offset. Bytes not yet delivered are limited by the demand
 * signalled to the endpoint, which grows only as the sink reads.
 *
 * <p>Invariant: a sink receives head, data in order without gaps, then exactly one last frame; only
 * the newest sink receives anything. Thread safety: all methods are synchronized, and no foreign
 * code is called under the lock.
 */
final class AttemptOutput {

  /** Maximum data bytes in one frame. */
  static final int MAX_FRAME_BYTES = 16 * 1024;

  private static final int DEMAND_STEP = 8 * 1024;

  private final BufferBudget budget;
  private final Deque<byte[]> chunks = new ArrayDeque<>();
  private FrameHead head;
  private FrameBody lastFrame;
  private long firstKeptOffset;
  private long endOffset;
  private int currentExchange;
  private FrameSink sink;
  private long readOffset;
  private boolean headTaken;
  private boolean lastFrameTaken;
  private boolean lastFrameDelivered;
  private long detachedAtNanos;
  private EngineClient.ResponseHandle response;
  private int bytesToDemand;
  private long lastReceivedAtNanos;
  private boolean receivedAny;

  AttemptOutput(BufferBudget budget, long nowNanos) {
    this.budget = budget;
    this.detachedAtNanos = nowNanos;
  }

  /** Consumer of frames, notified when frames are available. */
  interface FrameSink {

    /** Sets the output that the sink reads; called once, before anything else. */
    void setOutput(AttemptOutput output);

    /** Called when frames may be available. */
    void onFramesAvailable();

    /** Called when another sink has replaced this one, which receives no more frames. */
    void onReplaced();
  }

  /**
   * Makes {@code newSink} the reader from {@code offset} on. Returns the sink it replaces, which
   * the caller must notify, or empty.
   *
   * @return false in {@code attached} when the offset is no longer buffered or not yet received
   */
  synchronized Attachment attach(FrameSink newSink, long offset) {
    if (offset < firstKeptOffset || offset > endOffset) {
      return new Attachment(false, Optional.empty());
    }
    Optional<FrameSink> replaced = Optional.ofNullable(sink);
    sink = newSink;
    readOffset = offset;
    headTaken = false;
    lastFrameTaken = false;
    return new Attachment(true, replaced);
  }

  /** Result of {@link #attach}. */
  record Attachment(boolean attached, Optional<FrameSink> replaced) {}

  /** Removes {@code oldSink} if it is still the reader. */
  synchronized void detach(FrameSink oldSink, long nowNanos) {
    if (sink == oldSink) {
      sink = null;
      detachedAtNanos = nowNanos;
    }
  }

  /** Returns true when no sink has been attached since {@code beforeNanos}. */
  synchronized boolean abandonedSince(long beforeNanos) {
    return sink == null && detachedAtNanos - beforeNanos < 0;
  }

  /** Sets the response whose demand grows as the sink reads. */
  void setResponse(EngineClient.ResponseHandle newResponse) {
    synchronized (this) {
      response = newResponse;
      bytesToDemand = 0;
    }
  }

  /** Sets the head; later calls are ignored, since a resumed response keeps its first head. */
  void head(FrameHead newHead) {
    FrameSink reader;
    synchronized (this) {
      if (head != null || lastFrame != null) {
        return;
      }
      head = newHead;
      reader = sink;
    }
    notifySink(reader);
  }

  /**
   * Accepts bytes only from {@code exchange} from now on, and returns the number of bytes received
   * so far. A stalled connection may still deliver bytes after its response was resumed on another
   * one; accepting them would duplicate data.
   */
  synchronized long beginExchange(int exchange) {
    currentExchange = exchange;
    return endOffset;
  }

  /** Adds bytes of the body; false when they come from an earlier exchange. */
  boolean append(int exchange, ByteBuffer bytes) {
    FrameSink reader;
    synchronized (this) {
      if (exchange != currentExchange) {
        return false;
      }
      if (lastFrame != null || !bytes.hasRemaining()) {
        return true;
      }
      byte[] chunk = new byte[bytes.remaining()];
      bytes.get(chunk);
      chunks.addLast(chunk);
      endOffset += chunk.length;
      lastReceivedAtNanos = System.nanoTime();
      receivedAny = true;
      reader = sink;
    }
    notifySink(reader);
    return true;
  }

  /** Ends the response successfully; returns false when it had already ended. */
  boolean finish(FrameEnd frame) {
    return setLastFrame(FrameBody.finish(frame), true);
  }

  /** Ends the attempt before a response; returns false when it had already ended. */
  boolean refuse(FrameRefusal frame) {
    return setLastFrame(FrameBody.refusal(frame), false);
  }

  /** Ends the response with a failure; returns false when it had already ended. */
  boolean fail(FrameFailure frame) {
    return setLastFrame(FrameBody.failure(frame), false);
  }

  /** Returns when the endpoint last sent bytes, or {@code otherwise} when it sent none. */
  synchronized long lastReceivedAtNanos(long otherwise) {
    return receivedAny ? lastReceivedAtNanos : otherwise;
  }

  /** Returns true when the endpoint must wait until the sink has read more. */
  synchronized boolean demandExhausted() {
    return endOffset - readOffset >= EngineClient.INITIAL_DEMAND - DEMAND_STEP;
  }

  /** Returns the number of bytes received from the endpoint. */
  synchronized long receivedBytes() {
    return endOffset;
  }

  /** Returns true once the last frame was delivered to a sink. */
  synchronized boolean delivered() {
    return lastFrameDelivered;
  }

  /** Returns true when a last frame is set. */
  synchronized boolean hasLastFrame() {
    return lastFrame != null;
  }

  /** Removes and returns the next frame for {@code reader}; empty when none is available. */
  Optional<FrameBody> take(FrameSink reader) {
    EngineClient.ResponseHandle fed = null;
    int demand = 0;
    FrameBody frame;
    synchronized (this) {
      if (sink != reader) {
        return Optional.empty();
      }
      frame = next();
      if (bytesToDemand >= DEMAND_STEP && response != null) {
        fed = response;
        demand = bytesToDemand;
        bytesToDemand = 0;
      }
    }
    if (fed != null) {
      fed.demand(demand);
    }
    return Optional.ofNullable(frame);
  }

  /** Returns true when no sink is attached. */
  synchronized boolean abandoned() {
    return sink == null;
  }

  /** Returns true when the last frame was taken by {@code reader}. */
  synchronized boolean drained(FrameSink reader) {
    return sink == reader && lastFrameTaken;
  }

  private FrameBody next() {
    if (head != null && !headTaken) {
      headTaken = true;
      return FrameBody.head(head);
    }
    if (readOffset < endOffset) {
      return FrameBody.data(data());
    }
    if (lastFrame != null && !lastFrameTaken) {
      lastFrameTaken = true;
      lastFrameDelivered = true;
      return lastFrame;
    }
    return null;
  }

  private FrameData data() {
    int length = (int) Math.min(MAX_FRAME_BYTES, endOffset - readOffset);
    byte[] bytes = new byte[length];
    long chunkStart = firstKeptOffset;
    int copied = 0;
    Iterator<byte[]> iterator = chunks.iterator();
    while (copied < length) {
      byte[] chunk = iterator.next();
      long from = readOffset + copied - chunkStart;
      if (from < chunk.length) {
        int count = (int) Math.min(chunk.length - from, length - copied);
        System.arraycopy(chunk, (int) from, bytes, copied, count);
        copied += count;
      }
      chunkStart += chunk.length;
    }
    FrameData frame = new FrameData(readOffset, ByteBuffer.wrap(bytes));
    readOffset += length;
    bytesToDemand += length;
    trim();
    return frame;
  }

  private void trim() {
    int kept = budget.bytesPerAttempt();
    byte[] oldest = chunks.peekFirst();
    while (oldest != null && firstKeptOffset + oldest.length <= readOffset - kept) {
      chunks.removeFirst();
      firstKeptOffset += oldest.length;
      oldest = chunks.peekFirst();
    }
  }

  private boolean setLastFrame(FrameBody frame, boolean complete) {
    FrameSink reader;
    synchronized (this) {
      if (lastFrame != null) {
        return false;
      }
      lastFrame = frame;
      response = complete ? response : null;
      reader = sink;
    }
    notifySink(reader);
    return true;
  }

  private static void notifySink(FrameSink reader) {
    if (reader != null) {
      reader.onFramesAvailable();
    }
  }
}

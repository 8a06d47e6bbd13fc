package org.comfreygap.sidecar;

import jakarta.servlet.AsyncContext;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.AsyncListener;
import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import java.io.IOException;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TTransportException;
import org.comfreygap.protocol.generated.AttemptFrame;
import org.comfreygap.protocol.generated.FrameBeat;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.sidecar.AttemptOutput.FrameSink;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the frames of one attempt to one connection without blocking: the thread that adds to the
 * output writes while the connection is writable, and a container thread continues when it becomes
 * writable again.
 *
 * <p>Invariant: frames are taken from the output only while the connection is writable, so a slow
 * gateway applies backpressure to the endpoint. Thread safety: all methods may be called from any
 * thread.
 */
final class AttemptStream implements FrameSink, WriteListener, AsyncListener {

  private static final Logger LOG = LoggerFactory.getLogger(AttemptStream.class);

  private static final ThreadLocal<TSerializer> SERIALIZER =
      ThreadLocal.withInitial(AttemptStream::serializer);

  private final String attemptId;
  private final AsyncContext context;
  private final ServletOutputStream out;
  private final AttemptStreams streams;
  private AttemptOutput output;
  private boolean writable;
  private boolean closed;
  private boolean unflushed;
  private long lastFrameAtNanos = System.nanoTime();

  AttemptStream(String attemptId, AsyncContext context, AttemptStreams streams) throws IOException {
    this.attemptId = attemptId;
    this.context = context;
    this.out = context.getResponse().getOutputStream();
    this.streams = streams;
  }

  @Override
  public void setOutput(AttemptOutput newOutput) {
    synchronized (this) {
      output = newOutput;
    }
  }

  @Override
  public void onFramesAvailable() {
    drain(false);
  }

  @Override
  public void onReplaced() {
    close();
  }

  @Override
  public void onWritePossible() {
    synchronized (this) {
      writable = true;
    }
    drain(false);
  }

  @Override
  public void onError(Throwable failure) {
    close();
  }

  @Override
  public void onError(AsyncEvent event) {
    close();
  }

  @Override
  public void onTimeout(AsyncEvent event) {
    close();
  }

  @Override
  public void onComplete(AsyncEvent event) {
    close();
  }

  @Override
  public void onStartAsync(AsyncEvent event) {
    // Not used: the servlet starts only one asynchronous cycle.
  }

  /** Writes a beat if no frame was written since {@code beforeNanos}. */
  void beat(long beforeNanos) {
    boolean due;
    synchronized (this) {
      due = lastFrameAtNanos - beforeNanos < 0;
    }
    if (due) {
      drain(true);
    }
  }

  private void drain(boolean beat) {
    boolean complete = false;
    boolean broken = false;
    synchronized (this) {
      if (closed || !writable || output == null) {
        return;
      }
      try {
        complete = write(beat);
      } catch (IOException | TException e) {
        broken = true;
      }
    }
    if (complete || broken) {
      close();
    }
  }

  /** Writes the available frames; returns true when the last frame was flushed. */
  private boolean write(boolean beat) throws IOException, TException {
    boolean beatDue = beat;
    while (out.isReady()) {
      Optional<FrameBody> frame = output.take(this);
      if (frame.isEmpty() && beatDue) {
        frame = Optional.of(FrameBody.beat(new FrameBeat(0)));
      }
      beatDue = false;
      if (frame.isPresent()) {
        out.write(SERIALIZER.get().serialize(new AttemptFrame(attemptId, frame.get())));
        lastFrameAtNanos = System.nanoTime();
        unflushed = true;
      } else if (unflushed) {
        unflushed = false;
        out.flush();
      } else {
        return output.drained(this);
      }
    }
    return false;
  }

  private void close() {
    AttemptOutput known;
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      known = output;
    }
    streams.remove(this);
    if (known != null) {
      known.detach(this, System.nanoTime());
    }
    try {
      context.complete();
    } catch (IllegalStateException e) {
      LOG.debug("the container completed the response before the sidecar did", e);
    }
  }

  private static TSerializer serializer() {
    try {
      return new TSerializer(new TCompactProtocol.Factory());
    } catch (TTransportException e) {
      throw new IllegalStateException("cannot create a memory transport", e);
    }
  }
}

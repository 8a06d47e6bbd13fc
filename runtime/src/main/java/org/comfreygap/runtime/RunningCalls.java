package org.comfreygap.runtime;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolDecorator;
import org.apache.thrift.transport.TTransportException;

/**
 * Counts the calls that a server executes, so that its stop can wait for their replies.
 *
 * <p>Invariant: once {@link #endAll} has begun, no further call reaches the processor; its
 * connection is closed instead. Thread safety: thread-safe.
 */
final class RunningCalls implements TProcessor {

  private final TProcessor processor;
  private int running;
  private boolean ending;

  RunningCalls(TProcessor processor) {
    this.processor = processor;
  }

  @Override
  public void process(TProtocol in, TProtocol out) throws TException {
    // Waits for the next call of the connection, which may be idle.
    TMessage message = in.readMessageBegin();
    begin();
    try {
      processor.process(new BegunMessage(in, message), out);
    } finally {
      end();
    }
  }

  /**
   * Refuses further calls and waits until the running ones have their replies.
   *
   * @param timeout longest wait
   */
  synchronized void endAll(Duration timeout) throws InterruptedException {
    ending = true;
    long end = System.nanoTime() + timeout.toNanos();
    long left = timeout.toNanos();
    while (running > 0 && left > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, left);
      left = end - System.nanoTime();
    }
  }

  private synchronized void begin() throws TTransportException {
    if (ending) {
      throw new TTransportException(TTransportException.END_OF_FILE, "the server is closing");
    }
    running++;
  }

  private synchronized void end() {
    running--;
    notifyAll();
  }

  /** A protocol whose message has been begun by another reader. */
  private static final class BegunMessage extends TProtocolDecorator {

    private final TMessage message;

    BegunMessage(TProtocol protocol, TMessage message) {
      super(protocol);
      this.message = message;
    }

    @Override
    public TMessage readMessageBegin() {
      return message;
    }
  }
}

package org.comfreygap.sidecar;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * Passes one exchange with the endpoint on to its attempt.
 *
 * <p>Thread safety: called by one I/O thread at a time.
 */
final class Follower implements EngineClient.AnswerListener {

  private final RunningAttempts running;
  private final Attempt attempt;
  private final int exchange;
  private boolean usable;

  Follower(RunningAttempts running, Attempt attempt, int exchange) {
    this.running = running;
    this.attempt = attempt;
    this.exchange = exchange;
  }

  @Override
  public void head(int status, Map<String, String> headers, String bootId) {
    usable = running.onHead(attempt, exchange, status, headers, bootId);
  }

  @Override
  public boolean data(ByteBuffer bytes) {
    return !usable || attempt.output.append(exchange, bytes);
  }

  @Override
  public void ended(long totalTokens) {
    running.onEnded(attempt, exchange, totalTokens);
  }

  @Override
  public void failed(EngineException failure) {
    running.onFailed(attempt, exchange, failure);
  }
}

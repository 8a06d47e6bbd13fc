package org.comfreygap.sidecar;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * Forwards the events of one exchange with the endpoint to its attempt.
 *
 * <p>Thread safety: called by one I/O thread at a time.
 */
final class ExchangeListener implements EngineClient.ResponseListener {

  private final RunningAttempts running;
  private final Attempt attempt;
  private final int exchange;
  private boolean usable;

  ExchangeListener(RunningAttempts running, Attempt attempt, int exchange) {
    this.running = running;
    this.attempt = attempt;
    this.exchange = exchange;
  }

  @Override
  public void onHead(int status, Map<String, String> headers, String bootId) {
    usable = running.onHead(attempt, exchange, status, headers, bootId);
  }

  @Override
  public boolean onData(ByteBuffer bytes) {
    return !usable || attempt.output.append(exchange, bytes);
  }

  @Override
  public void onComplete(long totalTokens) {
    running.onComplete(attempt, exchange, totalTokens);
  }

  @Override
  public void onFailure(EngineException failure) {
    running.onFailure(attempt, exchange, failure);
  }
}

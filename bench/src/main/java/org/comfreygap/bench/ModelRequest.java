package org.comfreygap.bench;

import org.comfreygap.decisions.AdapterSlots.Name;

/**
 * A streaming request in {@link LoadModel}.
 *
 * <p>Thread safety: not thread-safe.
 */
final class ModelRequest {

  private final Kind kind;
  private final Name adapter;
  private final int gateway;
  private final long arrivedMillis;
  private double remainingPromptTokens;
  private double remainingSteps;
  private long startedMillis = -1;
  private boolean failed;
  private boolean refused;

  ModelRequest(Kind kind, Name adapter, int gateway, long arrivedMillis) {
    this.kind = kind;
    this.adapter = adapter;
    this.gateway = gateway;
    this.arrivedMillis = arrivedMillis;
    this.remainingPromptTokens = kind.promptTokens;
    this.remainingSteps = kind.outputTokens;
  }

  /** Kinds of requests in the deployments, with their share of the traffic. */
  enum Kind {
    LONG(0.62, 600, 1_460, 171),
    DEFERRABLE(0.08, 1_000, 1_460, 171),
    SHORT(0.30, 500, 646, 69);

    private final double share;
    private final long targetMillis;
    private final int promptTokens;
    private final int outputTokens;

    Kind(double share, long targetMillis, int promptTokens, int outputTokens) {
      this.share = share;
      this.targetMillis = targetMillis;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
    }

    /** Returns the kind for a number drawn uniformly from 0 to 1. */
    static Kind forDraw(double number) {
      if (number < LONG.share) {
        return LONG;
      }
      return number < LONG.share + DEFERRABLE.share ? DEFERRABLE : SHORT;
    }

    long targetMillis() {
      return targetMillis;
    }
  }

  Kind kind() {
    return kind;
  }

  Name adapter() {
    return adapter;
  }

  int gateway() {
    return gateway;
  }

  long arrivedMillis() {
    return arrivedMillis;
  }

  boolean refused() {
    return refused;
  }

  boolean failed() {
    return failed;
  }

  void refuse() {
    refused = true;
  }

  void fail() {
    failed = true;
  }

  /** Processes tokens of the prompt; returns true once all are processed. */
  boolean advancePrompt(double tokens) {
    remainingPromptTokens -= tokens;
    return remainingPromptTokens <= 0;
  }

  void start(long nowMillis) {
    startedMillis = nowMillis;
  }

  /** Generates a part of the output; returns true once it is complete. */
  boolean advanceOutput(double count) {
    remainingSteps -= count;
    return remainingSteps <= 0;
  }

  boolean started() {
    return startedMillis >= 0 && !failed;
  }

  /** Returns the time from arrival to the first output. */
  long timeToFirstTokenMillis() {
    return startedMillis - arrivedMillis;
  }

  boolean onTime() {
    return started() && timeToFirstTokenMillis() <= kind.targetMillis;
  }
}

package org.comfreygap.testkit;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A request that runs in a fake engine, with the response bytes generated so far.
 *
 * <p>The text of each token is {@code adapter nonce attempt count/total;}, so that a caller can
 * verify the complete response. Thread safety: all methods are synchronized.
 *
 * @since 0.1
 */
final class EngineRun {

  final EndpointRecord.Run recordEntry;
  final String namespace;
  final int priority;
  final int promptTokens;
  final int totalTokens;
  final boolean stream;
  final boolean chat;
  final String body;

  private final ByteArrayOutputStream response = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private int prefillSteps;
  private int generatedTokens;
  private boolean ended;
  private boolean complete;

  EngineRun(EndpointRecord.Run entry, EngineRequest request, int prefillSteps) {
    this.recordEntry = entry;
    this.namespace = request.namespace();
    this.priority = request.priority();
    this.promptTokens = request.promptTokens();
    this.totalTokens = request.maxTokens();
    this.stream = request.stream();
    this.chat = request.chat();
    this.body = request.body();
    this.prefillSteps = prefillSteps;
  }

  /** Executes one engine step; returns true when the run has ended. */
  synchronized boolean step() {
    if (ended) {
      return true;
    }
    if (prefillSteps > 0) {
      prefillSteps--;
      return false;
    }
    generatedTokens++;
    String token = token(generatedTokens);
    text.append(token);
    if (stream) {
      write("data: " + event(token) + "\n\n");
    }
    if (generatedTokens >= totalTokens) {
      write(stream ? "data: " + usageEvent() + "\n\ndata: [DONE]\n\n" : wholeBody());
      complete = true;
      end();
    }
    notifyAll();
    return ended;
  }

  /** Skips ahead to {@code position} generated tokens, after a cache import. */
  synchronized void skipTo(int position) {
    prefillSteps = 0;
    while (generatedTokens < Math.min(position, totalTokens - 1)) {
      step();
    }
  }

  synchronized void end() {
    ended = true;
    notifyAll();
  }

  synchronized boolean ended() {
    return ended;
  }

  synchronized boolean complete() {
    return complete;
  }

  synchronized int generatedTokens() {
    return generatedTokens;
  }

  /** Returns the response bytes from {@code offset} on; blocks until there are some or the end. */
  synchronized byte[] responseFrom(int offset) throws InterruptedException {
    while (response.size() <= offset && !ended) {
      wait();
    }
    byte[] all = response.toByteArray();
    return offset >= all.length ? new byte[0] : Arrays.copyOfRange(all, offset, all.length);
  }

  private String token(int number) {
    return recordEntry.adapter
        + " "
        + (recordEntry.nonce.isEmpty() ? "-" : recordEntry.nonce)
        + " "
        + recordEntry.attempt
        + " "
        + number
        + "/"
        + totalTokens
        + ";";
  }

  private String event(String token) {
    String choice =
        chat
            ? "{\"index\":0,\"delta\":{\"content\":\"" + token + "\"},\"finish_reason\":null}"
            : "{\"index\":0,\"text\":\"" + token + "\",\"finish_reason\":null}";
    return jsonPrefix("chat.completion.chunk", "text_completion")
        + ",\"choices\":["
        + choice
        + "]}";
  }

  private String usageEvent() {
    return jsonPrefix("chat.completion.chunk", "text_completion")
        + ",\"choices\":[],"
        + usage()
        + "}";
  }

  private String wholeBody() {
    String choice =
        chat
            ? "{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + text + "\"}"
            : "{\"index\":0,\"text\":\"" + text + "\"";
    return jsonPrefix("chat.completion", "text_completion")
        + ",\"choices\":["
        + choice
        + ",\"finish_reason\":\"stop\"}],"
        + usage()
        + "}";
  }

  private String jsonPrefix(String chatObject, String textObject) {
    return "{\"id\":\""
        + recordEntry.attempt
        + "\",\"object\":\""
        + (chat ? chatObject : textObject)
        + "\",\"model\":\""
        + recordEntry.adapter
        + "\"";
  }

  private String usage() {
    return "\"usage\":{\"prompt_tokens\":"
        + promptTokens
        + ",\"completion_tokens\":"
        + generatedTokens
        + ",\"total_tokens\":"
        + (promptTokens + generatedTokens)
        + "}";
  }

  private void write(String bytes) {
    response.writeBytes(bytes.getBytes(StandardCharsets.UTF_8));
  }
}

package org.comfreygap.testkit;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One request in a fake engine, with the bytes of its answer.
 *
 * <p>Every token's text is {@code adapter nonce attempt count/total;}, so that a caller can verify
 * the whole answer. Thread safety: all methods are synchronized.
 *
 * @since 0.1
 */
final class EngineRun {

  final EndpointRecord.Run entry;
  final String namespace;
  final int priority;
  final int promptTokens;
  final int total;
  final boolean stream;
  final boolean chat;
  final String body;

  private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private int prefillSteps;
  private int count;
  private boolean ended;
  private boolean complete;

  EngineRun(EndpointRecord.Run entry, EngineRequest request, int prefillSteps) {
    this.entry = entry;
    this.namespace = request.namespace();
    this.priority = request.priority();
    this.promptTokens = request.promptTokens();
    this.total = request.maxTokens();
    this.stream = request.stream();
    this.chat = request.chat();
    this.body = request.body();
    this.prefillSteps = prefillSteps;
  }

  /** Does one engine step; returns true when the run has ended. */
  synchronized boolean step() {
    if (ended) {
      return true;
    }
    if (prefillSteps > 0) {
      prefillSteps--;
      return false;
    }
    count++;
    String token = token(count);
    text.append(token);
    if (stream) {
      write("data: " + event(token) + "\n\n");
    }
    if (count >= total) {
      write(stream ? "data: " + usageEvent() + "\n\ndata: [DONE]\n\n" : whole());
      complete = true;
      end();
    }
    notifyAll();
    return ended;
  }

  /** Continues at {@code position} tokens, after an import of the cache. */
  synchronized void skipTo(int position) {
    prefillSteps = 0;
    while (count < Math.min(position, total - 1)) {
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

  synchronized int count() {
    return count;
  }

  /** Returns the bytes from {@code offset} on, waiting for some until the run has ended. */
  synchronized byte[] from(int offset) throws InterruptedException {
    while (answer.size() <= offset && !ended) {
      wait();
    }
    byte[] all = answer.toByteArray();
    return offset >= all.length ? new byte[0] : Arrays.copyOfRange(all, offset, all.length);
  }

  private String token(int number) {
    return entry.adapter
        + " "
        + (entry.nonce.isEmpty() ? "-" : entry.nonce)
        + " "
        + entry.attempt
        + " "
        + number
        + "/"
        + total
        + ";";
  }

  private String event(String token) {
    String choice =
        chat
            ? "{\"index\":0,\"delta\":{\"content\":\"" + token + "\"},\"finish_reason\":null}"
            : "{\"index\":0,\"text\":\"" + token + "\",\"finish_reason\":null}";
    return head("chat.completion.chunk", "text_completion") + ",\"choices\":[" + choice + "]}";
  }

  private String usageEvent() {
    return head("chat.completion.chunk", "text_completion") + ",\"choices\":[]," + usage() + "}";
  }

  private String whole() {
    String choice =
        chat
            ? "{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + text + "\"}"
            : "{\"index\":0,\"text\":\"" + text + "\"";
    return head("chat.completion", "text_completion")
        + ",\"choices\":["
        + choice
        + ",\"finish_reason\":\"stop\"}],"
        + usage()
        + "}";
  }

  private String head(String chatObject, String textObject) {
    return "{\"id\":\""
        + entry.attempt
        + "\",\"object\":\""
        + (chat ? chatObject : textObject)
        + "\",\"model\":\""
        + entry.adapter
        + "\"";
  }

  private String usage() {
    return "\"usage\":{\"prompt_tokens\":"
        + promptTokens
        + ",\"completion_tokens\":"
        + count
        + ",\"total_tokens\":"
        + (promptTokens + count)
        + "}";
  }

  private void write(String bytes) {
    answer.writeBytes(bytes.getBytes(StandardCharsets.UTF_8));
  }
}

package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against routes that open to everybody because the last customer was deleted: gateways ask
 * for keys while there are customers, or while the key policy says so.
 */
class LastCustomerTest {

  private static final String CUSTOMER = "/teams/blue/customers/desk";
  private static final String POLICY = "/routing/key-policy";

  private ControlFixture control;

  @BeforeEach
  void start() throws Exception {
    control = ControlFixture.startLeader();
    put("/routing/publication", "{\"version\":1}");
    put(CUSTOMER, "{}");
  }

  @AfterEach
  void stop() {
    control.close();
  }

  @Test
  void keysStayRequiredAfterTheLastCustomerIsDeleted() throws Exception {
    delete(CUSTOMER);

    assertThat(keysRequired()).isTrue();
  }

  @Test
  void keysStayRequiredAfterTheLastTeamIsDeleted() throws Exception {
    delete("/teams?prefix=true");

    assertThat(keysRequired()).isTrue();
  }

  @Test
  void keysStayRequiredAfterARollbackToNoCustomers() throws Exception {
    String body = "{\"operationId\":\"back\",\"toRevision\":1,\"prefix\":\"/teams\"}";
    assertThat(control.call("POST", "/rollback", body).status()).isEqualTo(200);

    assertThat(keysRequired()).isTrue();
  }

  @Test
  void keysStayRequiredAfterATransactionThatDeletesTheLastCustomer() throws Exception {
    String body =
        "{\"operationId\":\"tx\",\"expect\":{},\"changes\":[{\"path\":\"%s\",\"document\":null}]}"
            .formatted(CUSTOMER);
    assertThat(control.call("POST", "/transactions", body).status()).isEqualTo(200);

    assertThat(keysRequired()).isTrue();
  }

  @Test
  void operatorOfATeamKeepsKeysRequired() throws Exception {
    String token = "Bearer " + ControlFixture.BLUE_TOKEN;
    ControlFixture.Response deleted =
        control.call("DELETE", "/settings" + CUSTOMER, null, "Authorization", token);

    assertThat(deleted.status()).isEqualTo(200);
    assertThat(keysRequired()).isTrue();
  }

  @Test
  void statedPolicyIsLeftAsItIs() throws Exception {
    put(POLICY, "{\"required\":false}");
    delete(CUSTOMER);

    assertThat(keysRequired()).isFalse();
  }

  private boolean keysRequired() throws Exception {
    ControlFixture.Response policy = control.call("GET", "/settings" + POLICY, null);
    return policy.status() == 200 && policy.json().path("document").path("required").asBoolean();
  }

  private void put(String path, String document) throws Exception {
    assertThat(control.put(path, document).status()).isEqualTo(200);
  }

  private void delete(String path) throws Exception {
    assertThat(control.call("DELETE", "/settings" + path, null).status()).isEqualTo(200);
  }
}

import standin.Jobs;
import standin.Site;

import java.util.List;

/** A team is at its limit when the leader crashes, while a job that fails on every machine waits. */
public final class Case1 {
    private static final String TEAM = "folha-ops";

    public static void main(String[] args) {
        Site.play(args, Site.Shape.payroll(), "quota", Case1::run);
    }

    private static Jobs.Job array(Site site, String id, String bench, int pieces, String breed, double runS, double failS) {
        return site.jobs.upload(id, TEAM, bench, "sweep", "normal", pieces, 1.0, 2.0, "img-" + bench, 1.5, breed == null ? null : List.of(breed), runS, runS, failS);
    }

    private static void run(Site site) throws Exception {
        site.machines("desk-node", "lisboa-a", 4);
        site.machines("desk-node", "lisboa-b", 4);
        site.machines("close-node", "lisboa-a", 4);
        site.machines("close-node", "lisboa-b", 5);
        site.start();
        Thread.sleep(2000);

        // Three jobs come together, as at the start of a run; the last was submitted with a mistake and fails on every machine.
        Jobs.Job first = array(site, "wk-000101", "payslip-calc", 4, "desk-node", 90, 0);
        Jobs.Job sound = array(site, "wk-000102", "payslip-calc", 20, "desk-node", 90, 0);
        Jobs.Job mistaken = array(site, "wk-000103", "irs-withhold", 32, "desk-node", 30, 2);
        submit(site, first);
        Thread other = new Thread(() -> submit(site, sound));
        other.start();
        submit(site, mistaken);
        other.join();
        site.await("the jobs run", 15, () -> site.jobs.running(first.id()) == 4 && site.jobs.running(sound.id()) == 20);
        Thread.sleep(9000);

        // More work of the same team brings it to its limit.
        Jobs.Job large = array(site, "wk-000104", "payslip-calc", 400, "close-node", 90, 0);
        submit(site, large);
        site.await("the team is at its limit", 20, () -> site.jobs.used(TEAM) > 399.5);
        Thread.sleep(5000);
        for (String line : site.state.dump("mf/p/")) site.record.add("state  holds " + line);

        if (site.trouble) {
            int leader = site.controllers.leader(site.state);
            site.controllers.kill(leader);
            Thread.sleep(4000);
            site.controllers.start(leader);
        }
        Thread.sleep(15000);
        site.keepLog("replayed", "leading", "suspect", "ERROR");
    }

    private static void submit(Site site, Jobs.Job job) {
        try {
            site.users.submit(job);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

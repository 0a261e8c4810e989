package front

import (
	"testing"

	"github.com/matryer/is"
)

func TestDriversQuery(t *testing.T) {
	for _, driver := range clients {
		t.Run(driver.name, func(t *testing.T) {
			is := is.New(t)
			client := driver.open(t, newFakeKernel(t, Spec{}, echo).url(""))
			row := []string{"seats", "course-17", "course-18"}
			rows, err := client.query("SELECT $1, $2", "course-17", "course-18")
			is.NoErr(err)
			is.Equal(rows, [][]string{row, row, row})
			rows, err = client.query("SELECT name")
			is.NoErr(err)
			is.Equal(rows, [][]string{{"seats"}, {"seats"}, {"seats"}})
			affected, err := client.exec("UPDATE seats SET free = $1", "4")
			is.NoErr(err)
			is.Equal(affected, int64(1))
		})
	}
}

func TestDriversTransaction(t *testing.T) {
	for _, driver := range clients {
		t.Run(driver.name, func(t *testing.T) {
			is := is.New(t)
			client := driver.open(t, newFakeKernel(t, Spec{}, echo).url(""))
			transaction, err := client.begin()
			is.NoErr(err)
			_, err = transaction.exec("UPDATE seats")
			is.NoErr(err)
			is.NoErr(transaction.commit())
			transaction, err = client.begin()
			is.NoErr(err)
			_, err = transaction.exec("UPDATE fail")
			is.Equal(sqlState(err), "23505")
			is.NoErr(transaction.rollback())
			_, err = client.exec("UPDATE seats")
			is.NoErr(err)
		})
	}
}
